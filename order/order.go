// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package order

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/linkmast/linkmast/engine"
	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/logsvc"
	"github.com/linkmast/linkmast/weights"
)

// Stream is the name of the log stream whose offsets serve as fences.
const Stream = "orders"

// State is what an endpoint has loaded, or should have.
type State struct {
	// Model is the name of the model.
	Model string `json:"model"`
	// Version is the version of the weights.
	Version string `json:"version"`
	// Adapters lists the names of the adapters, in any order.
	Adapters []string `json:"adapters"`
}

// equal reports whether two states are the same.
func (s State) equal(o State) bool {
	return s.sameWeights(o) && slices.Equal(sorted(s.Adapters), sorted(o.Adapters))
}

func (s State) sameWeights(o State) bool {
	return s.Model == o.Model && s.Version == o.Version
}

func sorted(list []string) []string {
	return slices.Sorted(slices.Values(list))
}

// Target is an endpoint with its desired state.
type Target struct {
	// Endpoint is the endpoint's ID.
	Endpoint string
	// Want is the desired state.
	Want State
	// Checks is set if the endpoint checks fences.
	Checks bool
	// Demand is the number of requests that wait for the endpoint.
	Demand int
}

// Outcome is the result of Reconcile.
type Outcome string

// Outcomes of Reconcile.
const (
	// Settled means that the endpoint is in the desired state.
	Settled Outcome = "settled"
	// Waiting means that no order is due yet.
	Waiting Outcome = "waiting"
	// Limited means that the weight store's rate limit is exhausted.
	Limited Outcome = "limited"
	// Ordered means that the endpoint accepted an order.
	Ordered Outcome = "ordered"
	// Refused means that the endpoint has seen a higher fence.
	Refused Outcome = "refused"
	// Failed means that the log, the weight store or the endpoint failed.
	Failed Outcome = "failed"
)

// Settings are the timing parameters of a Reconciler. Zero values mean the defaults.
type Settings struct {
	// TakeoverDelay is how long the owner of an endpoint that does not check fences must have
	// owned it before it gives an order; the default is 10s.
	TakeoverDelay time.Duration
	// LoadTime is how long to wait for an order to take effect before it is repeated; the
	// default is 30s.
	LoadTime time.Duration
	// Retry is the wait after a failure or a refusal. It is also added to the wait that the weight
	// store demands, unless requests wait for the endpoint. The default is 2s.
	Retry time.Duration
}

const (
	defaultTakeoverDelay = 10 * time.Second
	defaultLoadTime      = 30 * time.Second
	defaultRetry         = 2 * time.Second
)

// Reconciler brings endpoints to their desired states. It is safe for concurrent use.
type Reconciler struct {
	settings Settings
	log      logsvc.Log
	store    weights.Store
	logger   logr.Logger

	mu       sync.Mutex
	progress map[string]*progress
}

// progress is the state of reconciling one endpoint.
type progress struct {
	// ownedSince is when the owner first reconciled the endpoint.
	ownedSince time.Time
	// want is the desired state at the latest attempt to give an order, or when the endpoint
	// was first seen.
	want State
	// next is when to try again.
	next time.Time
}

// New returns a reconciler that uses the given log and weight store.
func New(s Settings, log logsvc.Log, store weights.Store, logger logr.Logger) *Reconciler {
	if s.TakeoverDelay == 0 {
		s.TakeoverDelay = defaultTakeoverDelay
	}
	if s.LoadTime == 0 {
		s.LoadTime = defaultLoadTime
	}
	if s.Retry == 0 {
		s.Retry = defaultRetry
	}
	return &Reconciler{
		settings: s,
		log:      log,
		store:    store,
		logger:   logger,
		progress: make(map[string]*progress),
	}
}

// Forget discards the state of an endpoint that the instance no longer owns.
func (r *Reconciler) Forget(endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.progress, endpoint)
}

// Reconcile compares the state of an endpoint with the desired one and, when an order is due,
// orders what is missing. Call it at regular intervals.
func (r *Reconciler) Reconcile(ctx context.Context, t Target, have State, client engine.Client) Outcome {
	if !r.due(&t, have) {
		if t.Want.equal(have) {
			return Settled
		}
		return Waiting
	}
	outcome, after := r.giveOrder(ctx, &t, have, client)
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.progress[t.Endpoint]; p != nil {
		p.want = t.Want
		p.next = steady.Now().Add(after)
	}
	return outcome
}

// due reports whether to give an order now.
func (r *Reconciler) due(t *Target, have State) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := steady.Now()
	p := r.progress[t.Endpoint]
	if p == nil {
		p = &progress{
			ownedSince: now,
			want:       t.Want,
		}
		r.progress[t.Endpoint] = p
	}
	if t.Want.equal(have) {
		p.next = time.Time{}
		return false
	}
	if !t.Checks && now.Sub(p.ownedSince) < r.settings.TakeoverDelay {
		return false
	}
	return !now.Before(p.next) || !p.want.equal(t.Want)
}

// giveOrder obtains a fence, and a permit if the weights differ, and sends the order to the
// endpoint. It also returns how long to wait before the next attempt unless the desired state
// changes.
func (r *Reconciler) giveOrder(ctx context.Context, t *Target, have State, client engine.Client) (Outcome, time.Duration) {
	if !t.Want.sameWeights(have) {
		_, err := r.store.Permit(ctx, t.Want.Model, t.Want.Version)
		var limited *weights.LimitedError
		if errors.As(err, &limited) {
			return Limited, r.permitDelay(limited.After, t.Demand)
		}
		if err != nil {
			return r.failed(t, "weight store", err)
		}
	}
	fence, err := r.fence(ctx, t)
	if err != nil {
		return r.failed(t, "log", err)
	}
	err = client.Order(ctx, engine.Order{
		Fence:    fence,
		Model:    t.Want.Model,
		Version:  t.Want.Version,
		Adapters: t.Want.Adapters,
	})
	var re *engine.RunError
	if errors.As(err, &re) && re.Code == engine.RefusedFence {
		r.logger.Info("order refused", "endpoint", t.Endpoint, "fence", fence, "cause", err.Error())
		return Refused, r.settings.Retry
	}
	if err != nil {
		return r.failed(t, "endpoint", err)
	}
	r.logger.Info("order given", "endpoint", t.Endpoint, "fence", fence, "model", t.Want.Model, "version", t.Want.Version,
		"adapters", t.Want.Adapters)
	return Ordered, r.settings.LoadTime
}

// permitDelay returns how long to wait before asking for a permit again. Endpoints without
// waiting requests wait longer.
func (r *Reconciler) permitDelay(after time.Duration, demand int) time.Duration {
	if demand > 0 {
		return after
	}
	return after + r.settings.Retry
}

func (r *Reconciler) failed(t *Target, what string, err error) (Outcome, time.Duration) {
	r.logger.Info("order not given", "endpoint", t.Endpoint, "at", what, "cause", err.Error())
	return Failed, r.settings.Retry
}

// fence appends a record to the log and returns its offset. If the answer to an append is lost,
// its offset remains unused and the next one is higher.
func (r *Reconciler) fence(ctx context.Context, t *Target) (int64, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return 0, errors.Wrap(err, "encode order record")
	}
	return r.log.Append(ctx, Stream, [][]byte{data})
}
