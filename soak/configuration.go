// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/route"
)

// Names in the configuration.
const (
	// host is the host name of all routes.
	host = "api.example"
	// steadyKey is a key that is never revoked.
	steadyKey = "k-steady"
	// customer is the only customer, who holds all keys.
	customer = "c1"
	// engineService is the service of the engines, and plainService that of the plain
	// endpoints.
	engineService = "engines"
	plainService  = "plain"
	// streamPath is the path prefix of streams that can be resumed.
	streamPath = "/stream/"
	// oncePath is the path prefix of streams that run at most once.
	oncePath = "/once/"
	// safePath is the path prefix of plain requests that may be repeated.
	safePath = "/safe/"
	// unsafePath is the path prefix of plain requests that run at most once.
	unsafePath = "/unsafe/"
)

// Limits in the configuration.
const (
	// requestTimeout is the time limit of a request. It is long enough for an instance to try
	// another endpoint.
	requestTimeout = 5 * time.Second
	// requestTarget is the time in which a plain answer, or the first event of a stream, is
	// due.
	requestTarget = 500 * time.Millisecond
	// requestGap is the longest pause between two events of a stream that counts as in time.
	requestGap = 300 * time.Millisecond
	// maxAttempts bounds the number of attempts for a request.
	maxAttempts = 2
	// maxBody bounds the body of a request, in bytes.
	maxBody = 1 << 20
)

// publish writes the next version of the configuration, with the keys that are valid now.
func (d *Deployment) publish() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	var keys []string
	for k, revoked := range d.keys {
		if revoked.IsZero() {
			keys = append(keys, k)
		}
	}
	d.store.Publish(d.version, []route.Route{
		routeOf(streamPath, route.Streaming, engineService, true),
		routeOf(oncePath, route.Streaming, engineService, false),
		routeOf(safePath, route.Safe, plainService, false),
		routeOf(unsafePath, route.Unsafe, plainService, false),
	}, map[string]*batch.Model{
		engineService: engineModel(),
		plainService:  nil,
	}, maxBody, []route.Customer{{
		ID:   customer,
		Keys: keys,
	}})
}

// routeOf returns the route from a path prefix to one service.
func routeOf(prefix string, kind route.Kind, service string, resumable bool) route.Route {
	return route.Route{
		Name:   prefix,
		Host:   host,
		Prefix: prefix,
		Kind:   kind,
		Shares: []route.Share{{
			Service: service,
			Weight:  1,
		}},
		Timeout:     requestTimeout,
		Target:      requestTarget,
		GapTarget:   requestGap,
		MaxAttempts: maxAttempts,
		Resumable:   resumable,
	}
}

// engineModel returns the cost model of the engines. They are fast, so that requests are late
// because of faults and not because of load.
func engineModel() *batch.Model {
	return &batch.Model{
		Slots:            endpointSlots,
		Capacity:         200_000,
		StepsPerPass:     20,
		Step:             time.Millisecond,
		PrefillPerSecond: 1e6,
	}
}

// publishWithin bounds the time between the marking of a key as revoked and the publication of
// the configuration without it. Keys that were marked longer ago keep their revocation time.
const publishWithin = time.Second

// rotateKey revokes the current key and adds a new one.
func (d *Deployment) rotateKey() {
	d.mu.Lock()
	for k, revoked := range d.keys {
		if revoked.IsZero() && k != steadyKey {
			d.keys[k] = time.Now()
		}
	}
	d.keys[fmt.Sprintf("k-%d", len(d.keys))] = time.Time{}
	d.mu.Unlock()
	d.publish()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for k, revoked := range d.keys {
		// The time limit for refusing the key starts when the store has the new version.
		if !revoked.IsZero() && now.Sub(revoked) < publishWithin {
			d.keys[k] = now
		}
	}
}

// currentKey returns a valid key that may be revoked later, or steadyKey if there is none.
func (d *Deployment) currentKey() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k, revoked := range d.keys {
		if revoked.IsZero() && k != steadyKey {
			return k
		}
	}
	return steadyKey
}

// anyKey returns a random key that is valid or was revoked.
func (d *Deployment) anyKey(r *rand.Rand) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := slices.Sorted(maps.Keys(d.keys))
	return all[r.IntN(len(all))]
}
