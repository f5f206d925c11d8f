// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package owner

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/linkmast/linkmast/config"
	"github.com/linkmast/linkmast/engine"
	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/order"
	"github.com/linkmast/linkmast/plain"
	"github.com/linkmast/linkmast/policy"
)

// Settings configures an Owner. A zero value selects the default.
type Settings struct {
	// SweepInterval is the interval at which the status of each endpoint is compared with its
	// leases; the default is 1s.
	SweepInterval time.Duration
	// ConfirmAfter is how long after the last confirmation of a lease its holder is asked about it;
	// the default is 3s.
	ConfirmAfter time.Duration
	// OrphanAfter is how long a holder may be unreachable before its attempts are cancelled; the
	// default is 4s.
	OrphanAfter time.Duration
	// StartWithin is how long a lease may remain unused; the default is 2s.
	StartWithin time.Duration
	// CallTimeout bounds one call to an endpoint or a holder; the default is 700ms.
	CallTimeout time.Duration
	// Strategy determines the order of the queues; the default is policy.Weighed.
	Strategy policy.Strategy
}

const (
	defaultSweep       = time.Second
	defaultConfirm     = 3 * time.Second
	defaultOrphan      = 4 * time.Second
	defaultStartWithin = 2 * time.Second
	defaultCall        = 700 * time.Millisecond
)

// pumpInterval is the interval at which a queue with waiting requests is checked again.
const pumpInterval = 5 * time.Millisecond

func (s *Settings) setDefaults() {
	setDefaultDuration(&s.SweepInterval, defaultSweep)
	setDefaultDuration(&s.ConfirmAfter, defaultConfirm)
	setDefaultDuration(&s.OrphanAfter, defaultOrphan)
	setDefaultDuration(&s.StartWithin, defaultStartWithin)
	setDefaultDuration(&s.CallTimeout, defaultCall)
	if s.Strategy == nil {
		s.Strategy = policy.Weighed{}
	}
}

func setDefaultDuration(v *time.Duration, def time.Duration) {
	if *v == 0 {
		*v = def
	}
}

// Endpoints creates clients for endpoints.
type Endpoints interface {
	// Engine returns the client for the engine at an address.
	Engine(address string) engine.Client
	// Plain returns the client for the plain endpoint at an address.
	Plain(address string) plain.Client
}

// Target describes one endpoint that the instance owns.
type Target struct {
	// Endpoint is the endpoint's entry in the configuration.
	Endpoint config.Endpoint
	// Instance is the name of the endpoint instance at the address; empty if the platform's list
	// has none.
	Instance string
	// Leaving is true if the endpoint must get no new work.
	Leaving bool
	// Desired is what an engine should have loaded.
	Desired order.State
}

// Owner schedules the endpoints that the instance owns.
type Owner struct {
	// Done is closed when the owner has stopped.
	Done chan struct{}

	settings   Settings
	endpoints  Endpoints
	holders    Holders
	reconciler *order.Reconciler
	log        logr.Logger
	cancel     context.CancelFunc
	// wake triggers a sweep.
	wake chan struct{}

	mu       sync.Mutex
	owned    map[string]*endpoint
	stopping bool
}

// endpoint is the queue and the ledger of one endpoint.
type endpoint struct {
	target Target
	ledger *policy.Ledger
	queue  []*waiter
	leases map[string]*lease
	// unleased holds the attempts that run without a lease, with the time when each was first seen.
	unleased map[string]time.Time
	// instance is the name of the endpoint instance in the last status.
	instance string
	// reported is true once the endpoint has returned a status.
	reported bool
	ejected  bool
	// fails counts the failed status calls in a row.
	fails int
	// pumping is true while a call of pump is scheduled.
	pumping bool
}

// lease is the permission of a holder to run one attempt.
type lease struct {
	holder    string
	granted   time.Time
	confirmed time.Time
	// silentSince is when the holder was first found unreachable; zero if it never was, or has
	// confirmed the lease since.
	silentSince time.Time
}

// New starts an owner without endpoints, which Close stops. With a nil reconciler it doesn't change
// what engines have loaded.
func New(s Settings, endpoints Endpoints, holders Holders, reconciler *order.Reconciler, log logr.Logger) *Owner {
	s.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	o := &Owner{
		Done:       make(chan struct{}),
		settings:   s,
		endpoints:  endpoints,
		holders:    holders,
		reconciler: reconciler,
		log:        log,
		cancel:     cancel,
		wake:       make(chan struct{}, 1),
		owned:      make(map[string]*endpoint),
	}
	go o.loop(ctx)
	return o
}

// Close stops the owner and waits for it. Waiting requests are refused.
func (o *Owner) Close() {
	o.Stop()
	o.cancel()
	<-o.Done
}

// Stop refuses all waiting and future requests. Leases remain.
func (o *Owner) Stop() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopping = true
	for _, e := range o.owned {
		e.refuseAll(RefusedStopping, "the owner is stopping")
	}
}

// SetOwned sets the endpoints that the instance owns. The state of the others is dropped, and their
// waiting requests are refused so that they can go to another owner.
func (o *Owner) SetOwned(targets []Target) {
	o.mu.Lock()
	defer o.mu.Unlock()
	keep := make(map[string]bool, len(targets))
	for _, t := range targets {
		keep[t.Endpoint.ID] = true
		e, ok := o.owned[t.Endpoint.ID]
		if !ok || e.target.Endpoint.Address != t.Endpoint.Address {
			if ok {
				e.refuseAll(RefusedNotOwner, "the endpoint has moved")
			}
			e = newEndpoint()
			o.owned[t.Endpoint.ID] = e
			o.wakeSweep()
		}
		e.setTarget(t)
	}
	for id, e := range o.owned {
		if !keep[id] {
			e.refuseAll(RefusedNotOwner, "the endpoint has another owner")
			delete(o.owned, id)
			if o.reconciler != nil {
				o.reconciler.Forget(id)
			}
		}
	}
}

// wakeSweep triggers a sweep.
func (o *Owner) wakeSweep() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func newEndpoint() *endpoint {
	return &endpoint{
		leases:   make(map[string]*lease),
		unleased: make(map[string]time.Time),
	}
}

// setTarget applies the configuration and the listing of the endpoint.
func (e *endpoint) setTarget(t Target) {
	if e.ledger == nil {
		e.ledger = policy.NewLedger(t.Endpoint.MemoryBytes, t.Endpoint.PrefillTokensPerSecond, t.Endpoint.MaxRunning)
	}
	e.target = t
	e.ledger.Memory = t.Endpoint.MemoryBytes
	e.ledger.Rate = t.Endpoint.PrefillTokensPerSecond
	e.ledger.MaxRunning = t.Endpoint.MaxRunning
	if t.Leaving {
		e.refuseAll(RefusedLeaving, "the endpoint is leaving")
	}
}

// Owned returns the ids of the owned endpoints, in any order.
func (o *Owner) Owned() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	ids := make([]string, 0, len(o.owned))
	for id := range o.owned {
		ids = append(ids, id)
	}
	return ids
}

// Summaries returns a summary of each owned endpoint, ordered by id.
func (o *Owner) Summaries() []policy.Summary {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := steady.Now()
	out := make([]policy.Summary, 0, len(o.owned))
	for id, e := range o.owned {
		out = append(out, e.summarize(id, now))
	}
	slices.SortFunc(out, func(a, b policy.Summary) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

func (e *endpoint) summarize(id string, now time.Time) policy.Summary {
	s := policy.Summary{
		Endpoint: id,
		Free:     e.ledger.Free(),
		Turnover: e.ledger.Turnover(),
		Slots:    e.ledger.MaxRunning - e.ledger.Running() - len(e.queue),
		Aside:    e.ejected || e.target.Leaving,
	}
	for p, seconds := range e.ledger.Outstanding(now) {
		s.Backlog[p] = float32(seconds)
	}
	for _, w := range e.queue {
		p := policy.Priority(w.request.Work.RankAt(now), w.request.Work.Class())
		s.Backlog[p] += float32(e.ledger.Prefill(w.request.Work.Prompt).Seconds())
		s.Free -= w.request.Work.Bytes
	}
	return s
}
