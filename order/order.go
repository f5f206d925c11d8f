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

// Stream is the name of the stream that fences are taken from.
const Stream = "orders"

// State is what an endpoint has loaded, or should have.
type State struct {
	// Model names the model.
	Model string `json:"model"`
	// Version is the version of the weights.
	Version string `json:"version"`
	// Adapters are the adapters, in any order.
	Adapters []string `json:"adapters"`
}

// equal states whether two states are the same.
func (s State) equal(o State) bool {
	return s.sameWeights(o) && slices.Equal(sorted(s.Adapters), sorted(o.Adapters))
}

func (s State) sameWeights(o State) bool {
	return s.Model == o.Model && s.Version == o.Version
}

func sorted(list []string) []string {
	return slices.Sorted(slices.Values(list))
}

// Target is one endpoint that may need an order.
type Target struct {
	// Endpoint names the endpoint.
	Endpoint string
	// Want is the desired state.
	Want State
	// Checks states whether the endpoint checks fences.
	Checks bool
	// Demand is how many requests wait for the endpoint.
	Demand int
}

// Outcome is what Reconcile did.
type Outcome string

// The outcomes of Reconcile.
const (
	// Settled means that the endpoint is as desired.
	Settled Outcome = "settled"
	// Waiting means that an order is due later.
	Waiting Outcome = "waiting"
	// Limited means that the weight store's limit is used up.
	Limited Outcome = "limited"
	// Ordered means that an order was given.
	Ordered Outcome = "ordered"
	// Refused means that the endpoint has seen a higher fence.
	Refused Outcome = "refused"
	// Failed means that the log, the store or the endpoint did not answer.
	Failed Outcome = "failed"
)

// Settings are the times of Orders. A zero value means the default.
type Settings struct {
	// HolderLease is how long an endpoint that does not check fences must have
	// been in the owner's hands; the default is 10s.
	HolderLease time.Duration
	// LoadTime is how long an order may take before it is given again; the
	// default is 30s.
	LoadTime time.Duration
	// Retry is when to try again after a failure; the default is 2s.
	Retry time.Duration
}

const (
	defaultHolderLease = 10 * time.Second
	defaultLoadTime    = 30 * time.Second
	defaultRetry       = 2 * time.Second
)

// Reconciler brings endpoints to their desired states.
type Reconciler struct {
	settings Settings
	log      logsvc.Log
	store    weights.Store
	logger   logr.Logger

	mu       sync.Mutex
	progress map[string]*progress
}

// progress is how far one endpoint is.
type progress struct {
	// ownedSince is when the owner first saw the endpoint.
	ownedSince time.Time
	// want is what was ordered last.
	want State
	// next is when to act again.
	next time.Time
}

// New returns Orders over the platform's log and weight store.
func New(s Settings, log logsvc.Log, store weights.Store, logger logr.Logger) *Reconciler {
	if s.HolderLease == 0 {
		s.HolderLease = defaultHolderLease
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

// Forget notes that an endpoint is no longer in the owner's hands.
func (o *Reconciler) Forget(endpoint string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.progress, endpoint)
}

// Reconcile compares what an endpoint has with what it should have, and orders
// what is missing when an order is due. It is called again and again.
func (o *Reconciler) Reconcile(ctx context.Context, t Target, have State, client engine.Client) Outcome {
	if !o.due(&t, have) {
		if t.Want.equal(have) {
			return Settled
		}
		return Waiting
	}
	out, after := o.giveOrder(ctx, &t, have, client)
	o.mu.Lock()
	defer o.mu.Unlock()
	if p := o.progress[t.Endpoint]; p != nil {
		p.want = t.Want
		p.next = steady.Now().Add(after)
	}
	return out
}

// due states whether to act now.
func (o *Reconciler) due(t *Target, have State) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := steady.Now()
	p := o.progress[t.Endpoint]
	if p == nil {
		p = &progress{
			ownedSince: now,
			want:       t.Want,
		}
		o.progress[t.Endpoint] = p
	}
	if t.Want.equal(have) {
		p.next = time.Time{}
		return false
	}
	if !t.Checks && now.Sub(p.ownedSince) < o.settings.HolderLease {
		return false
	}
	return !now.Before(p.next) || !p.want.equal(t.Want)
}

// giveOrder takes a permit and a fence, and gives the order. It returns when to giveOrder
// again if the state does not change.
func (o *Reconciler) giveOrder(ctx context.Context, t *Target, have State, client engine.Client) (Outcome, time.Duration) {
	if !t.Want.sameWeights(have) {
		_, err := o.store.Permit(ctx, t.Want.Model, t.Want.Version)
		var limited *weights.LimitedError
		if errors.As(err, &limited) {
			return Limited, o.permitDelay(limited.After, t.Demand)
		}
		if err != nil {
			return o.failed(t, "weight store", err)
		}
	}
	fence, err := o.fence(ctx, t)
	if err != nil {
		return o.failed(t, "log", err)
	}
	err = client.Order(ctx, engine.Order{
		Fence:    fence,
		Model:    t.Want.Model,
		Version:  t.Want.Version,
		Adapters: t.Want.Adapters,
	})
	var re *engine.RunError
	if errors.As(err, &re) && re.Code == engine.RefusedFence {
		o.logger.Info("order refused", "endpoint", t.Endpoint, "fence", fence, "cause", err.Error())
		return Refused, o.settings.Retry
	}
	if err != nil {
		return o.failed(t, "endpoint", err)
	}
	o.logger.Info("order", "endpoint", t.Endpoint, "fence", fence, "model", t.Want.Model, "version", t.Want.Version,
		"adapters", t.Want.Adapters)
	return Ordered, o.settings.LoadTime
}

// permitDelay returns when to ask the store again: later where nobody waits.
func (o *Reconciler) permitDelay(after time.Duration, demand int) time.Duration {
	if demand > 0 {
		return after
	}
	return after + o.settings.Retry
}

func (o *Reconciler) failed(t *Target, what string, err error) (Outcome, time.Duration) {
	o.logger.Info("order not given", "endpoint", t.Endpoint, "at", what, "cause", err.Error())
	return Failed, o.settings.Retry
}

// fence appends a record and returns its offset. An append whose answer was
// lost has used up an offset for nothing; the next is higher.
func (o *Reconciler) fence(ctx context.Context, t *Target) (int64, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return 0, errors.Wrap(err, "encode order")
	}
	return o.log.Append(ctx, Stream, [][]byte{data})
}
