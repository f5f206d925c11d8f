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

// What the configuration names.
const (
	// host is the host of all routes.
	host = "api.example"
	// steadyKey is a key that is never taken away.
	steadyKey = "k-steady"
	// customer is the one customer, who holds all keys.
	customer = "c1"
	// engineService has the engines, and plainService the other endpoints.
	engineService = "engines"
	plainService  = "plain"
	// streamPath is the prefix of streams that can be continued.
	streamPath = "/stream/"
	// oncePath is the prefix of streams that run at most once.
	oncePath = "/once/"
	// safePath is the prefix of requests that may run again.
	safePath = "/safe/"
	// unsafePath is the prefix of requests that run at most once.
	unsafePath = "/unsafe/"
)

// The bounds of the configuration.
const (
	// requestTimeout is the time that a request has; longer than an instance
	// takes to go over to another endpoint.
	requestTimeout = 5 * time.Second
	// requestTarget is when an answer, or the first event of a stream, is late.
	requestTarget = 500 * time.Millisecond
	// requestGap is the longest pause between events in time.
	requestGap = 300 * time.Millisecond
	// maxAttempts is how many endpoints a request is sent to.
	maxAttempts = 2
	// maxBody bounds a request's body, in bytes; callers stay well below.
	maxBody = 1 << 20
)

// publish writes the next version of the configuration.
func (w *World) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	var keys []string
	for k, gone := range w.keys {
		if gone.IsZero() {
			keys = append(keys, k)
		}
	}
	w.store.Publish(w.version, []route.Route{
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

// routeOf returns the route of a path prefix to one service.
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

// engineModel is the cost model of the engines: quick ones, so that faults and not
// the load decide what is late.
func engineModel() *batch.Model {
	return &batch.Model{
		Slots:            endpointSlots,
		Capacity:         200_000,
		StepsPerPass:     20,
		Step:             time.Millisecond,
		PrefillPerSecond: 1e6,
	}
}

// publishWithin bounds the time from when a key is noted as taken away until the
// store has the version without it; keys noted earlier keep their time.
const publishWithin = time.Second

// rotateKey takes a key away and gives another one.
func (w *World) rotateKey() {
	w.mu.Lock()
	for k, gone := range w.keys {
		if gone.IsZero() && k != steadyKey {
			w.keys[k] = time.Now()
		}
	}
	w.keys[fmt.Sprintf("k-%d", len(w.keys))] = time.Time{}
	w.mu.Unlock()
	w.publish()
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for k, gone := range w.keys {
		// The bound counts from when the store has the new version.
		if !gone.IsZero() && now.Sub(gone) < publishWithin {
			w.keys[k] = now
		}
	}
}

// currentKey returns a currentKey that holds now.
func (w *World) currentKey() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k, gone := range w.keys {
		if gone.IsZero() && k != steadyKey {
			return k
		}
	}
	return steadyKey
}

// anyKey returns a key that holds or held.
func (w *World) anyKey(r *rand.Rand) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := slices.Sorted(maps.Keys(w.keys))
	return all[r.IntN(len(all))]
}
