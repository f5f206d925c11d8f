// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package notice

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

// minRateHold is how long a rate limit stands before another value replaces it, so that an
// endpoint whose limit differs in each answer costs one notice in that time.
const minRateHold = time.Second

// The measures of a back-off.
const (
	// maxBackoff bounds it: then the endpoint is tried again.
	maxBackoff = time.Minute
	// backoffJitter is the part by which a back-off is longer at random, so that the instances that
	// were asked at one moment don't all return at one.
	backoffJitter = 0.1
)

// endpointState is what a Registry has of one endpoint.
type endpointState struct {
	Notice
	// limitNamedAt is when an answer last limitNamedAt the limit, or another instance told of it, and
	// changed when the notice last changed.
	limitNamedAt time.Time
	changedAt    time.Time
	// backoffUntil is until when it wants nothing from this instance.
	backoffUntil time.Time
	// malformedLogged states that a statement could not be read.
	malformedLogged bool
}

// Registry is what one instance knows from answers of endpoints. It is safe for use by several
// goroutines.
type Registry struct {
	now func() time.Time
	log logr.Logger

	mu        sync.Mutex
	endpoints map[string]*endpointState
	// listeners are those who hear of changes.
	listeners map[*func(Notice)]struct{}
	// view is what is known now.
	view atomic.Pointer[View]
}

// New returns an empty book. Now returns the time.
func New(now func() time.Time, log logr.Logger) *Registry {
	b := &Registry{
		now:       now,
		log:       log,
		endpoints: make(map[string]*endpointState),
		listeners: make(map[*func(Notice)]struct{}),
	}
	b.view.Store(&View{})
	return b
}

// OnChange has a function called with each notice that is new to this instance, in order,
// until stop is called. It must not call the book.
func (r *Registry) OnChange(tell func(Notice)) (stop func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners[&tell] = struct{}{}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.listeners, &tell)
	}
}

// View returns what is known now.
func (r *Registry) View() *View {
	return r.view.Load()
}

// ExclusionReason returns why an endpoint, whose start began at a moment or does not say when, must get no
// request of this instance now; empty when it may.
func (r *Registry) ExclusionReason(instance string, born time.Time) string {
	v := r.View()
	switch {
	case v.IsLeaving(instance, born):
		return "it says that it leaves"
	case v.BackoffUntil(instance, born).After(r.now()):
		return "it asked for a back-off"
	}
	return ""
}

// Notices returns all that is known, in any order.
func (r *Registry) Notices() []Notice {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Notice, 0, len(r.endpoints))
	for _, k := range r.endpoints {
		if k.Revision > 0 {
			out = append(out, k.Notice)
		}
	}
	return out
}

// RecordAnswer takes over what an answer says. It returns the notice and whether it is new.
func (r *Registry) RecordAnswer(a Answer, s Statements) (Notice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	k := r.endpoints[a.Instance]
	if k == nil {
		if s == (Statements{}) {
			return Notice{}, false
		}
		k = &endpointState{}
		k.Instance = a.Instance
		r.endpoints[a.Instance] = k
	}
	if !k.adoptStart(a.StartedAt) {
		return Notice{}, false
	}
	r.logMalformed(k, a, s)
	r.applyBackoff(k, a, s, now)
	left := r.applyLeaving(k, a, s)
	limited := r.applyRate(k, a, s, now)
	if !left && !limited {
		return Notice{}, false
	}
	k.changedAt = now
	k.Revision++
	r.publish(k)
	return k.Notice, true
}

// ApplyNotice takes over what another instance tells.
func (r *Registry) ApplyNotice(n Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.endpoints[n.Instance]
	if k == nil {
		k = &endpointState{
			Notice: Notice{
				Instance: n.Instance,
			},
		}
		r.endpoints[n.Instance] = k
	}
	if !k.adoptStart(n.StartedAt) {
		return
	}
	if !k.merge(n) {
		return
	}
	now := r.now()
	k.changedAt = now
	if k.Limited {
		k.limitNamedAt = now
	}
	r.log.V(1).Info("told of an endpoint", "endpoint", n.Instance, "limited", n.Limited, "rate", n.Rate, "leaving", n.Leaving,
		"revision", n.Revision)
	r.publish(k)
}

// merge takes over a notice of the same start, and returns whether anything changes. The limit is
// that of the notice which replaces the other; an endpoint that leaves does not come back.
func (k *endpointState) merge(n Notice) bool {
	before := k.Notice
	if n.replaces(&k.Notice) {
		k.Limited, k.Rate, k.Revision = n.Limited, n.Rate, n.Revision
	}
	k.Leaving = before.Leaving || n.Leaving
	return k.Notice != before
}

// unlistedRetention is how long a notice is kept of an endpoint that is not in the list of endpoints:
// that list may lag.
const unlistedRetention = 2 * time.Minute

// RemoveUnlisted forgets the endpoints that are not listed any more.
func (r *Registry) RemoveUnlisted(listed func(instance string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for instance, k := range r.endpoints {
		if listed(instance) || now.Sub(k.changedAt) < unlistedRetention {
			continue
		}
		delete(r.endpoints, instance)
		r.view.Store(r.View().withEndpoint(&endpointState{
			Notice: Notice{
				Instance: instance,
			},
		}, now))
	}
}

// adoptStart takes over that a start of the endpoint began at a moment; zero means that it does not
// say. It returns false when a later one is known.
func (k *endpointState) adoptStart(born time.Time) bool {
	switch {
	case born.IsZero() || born.Equal(k.StartedAt):
		return true
	case born.Before(k.StartedAt):
		return false
	case !k.StartedAt.IsZero():
		*k = endpointState{
			Notice: Notice{
				Instance: k.Instance,
			},
		}
	}
	k.StartedAt = born
	return true
}

// applyRate takes over what an answer says of a rate limit, and returns whether the notice
// changes. The caller holds the lock.
func (r *Registry) applyRate(k *endpointState, a Answer, s Statements, now time.Time) bool {
	before := k.Notice
	switch {
	case s.RateMalformed:
		return false
	case s.Limited:
		k.limitNamedAt = now
		if k.Limited && (k.Rate == s.Rate || now.Sub(k.changedAt) < minRateHold) {
			return false
		}
		k.Limited, k.Rate = true, s.Rate
	case !k.Limited || !a.SentAt.After(k.limitNamedAt):
		return false
	default:
		k.Limited, k.Rate = false, 0
	}
	r.log.Info("rate limit of an endpoint", "endpoint", a.Instance, "limited", k.Limited, "rate", k.Rate,
		"was_limited", before.Limited, "before", before.Rate, "request", a.Request)
	return true
}

// applyLeaving takes over whether an answer says that its endpoint leaves, and returns whether
// the notice changes. The caller holds the lock.
func (r *Registry) applyLeaving(k *endpointState, a Answer, s Statements) bool {
	if !s.Leaving || k.Leaving {
		return false
	}
	k.Leaving = true
	r.log.Info("endpoint says that it leaves", "endpoint", a.Instance, "request", a.Request)
	return true
}

// applyBackoff takes over for how long an endpoint wants nothing from this instance. The caller
// holds the lock.
func (r *Registry) applyBackoff(k *endpointState, a Answer, s Statements, now time.Time) {
	if s.Backoff <= 0 {
		return
	}
	length := min(s.Backoff, maxBackoff)
	until := now.Add(length + rand.N(max(time.Duration(backoffJitter*float64(length)), 1)))
	if !until.After(k.backoffUntil) {
		return
	}
	if !k.backoffUntil.After(now) {
		r.log.Info("endpoint asks for a back-off", "endpoint", a.Instance, "for_ms", s.Backoff.Milliseconds(),
			"kept_ms", until.Sub(now).Milliseconds(), "request", a.Request)
	}
	k.backoffUntil = until
	r.view.Store(r.View().withEndpoint(k, now))
}

// logMalformed writes one line for the first statement of a start that can't be read.
func (r *Registry) logMalformed(k *endpointState, a Answer, s Statements) {
	if s.Malformed == "" || k.malformedLogged {
		return
	}
	k.malformedLogged = true
	r.log.Info("statement of an endpoint can't be read", "endpoint", a.Instance, "statement", s.Malformed, "request", a.Request)
}

// publish makes a notice visible. The caller holds the lock.
func (r *Registry) publish(k *endpointState) {
	r.view.Store(r.View().withEndpoint(k, r.now()))
	for tell := range r.listeners {
		(*tell)(k.Notice)
	}
}
