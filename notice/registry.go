// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package notice

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

// minRateHold is the least time after a change of an endpoint's notice before another value of its
// rate limit is adopted. An endpoint that states a different limit in each answer thus causes at
// most one notice in that time.
const minRateHold = time.Second

// The limits of back-offs.
const (
	// maxBackoff bounds the length of a back-off, to which the jitter is added.
	maxBackoff = time.Minute
	// backoffJitter is the largest random extension of a back-off, relative to its length, so that
	// instances that were asked at the same moment don't all return together.
	backoffJitter = 0.1
)

// endpointState is what a Registry knows of one endpoint.
type endpointState struct {
	Notice
	// limitNamedAt is when an answer last stated the limit, or another instance reported it, and
	// changedAt is when the notice last changed.
	limitNamedAt time.Time
	changedAt    time.Time
	// backoffUntil is the end of the back-off that the endpoint asked of this instance.
	backoffUntil time.Time
	// malformedLogged reports that a malformed statement of the incarnation has been logged.
	malformedLogged bool
}

// Registry holds what one instance knows of endpoints from their answers. It is safe for concurrent
// use.
type Registry struct {
	now func() time.Time
	log logr.Logger

	mu        sync.Mutex
	endpoints map[string]*endpointState
	// listeners are called with each new notice.
	listeners map[*func(Notice)]struct{}
	// view is the present state, replaced at each change.
	view atomic.Pointer[View]
}

// New returns an empty registry that takes the time from now.
func New(now func() time.Time, log logr.Logger) *Registry {
	r := &Registry{
		now:       now,
		log:       log,
		endpoints: make(map[string]*endpointState),
		listeners: make(map[*func(Notice)]struct{}),
	}
	r.view.Store(&View{})
	return r
}

// OnChange calls the listener with each notice that is new to this instance, in order, until stop
// is called. The listener must not call the registry, whose lock is held meanwhile.
func (r *Registry) OnChange(listener func(Notice)) (stop func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners[&listener] = struct{}{}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.listeners, &listener)
	}
}

// View returns the present state of all endpoints.
func (r *Registry) View() *View {
	return r.view.Load()
}

// ExclusionReason returns why this instance must not send requests to an incarnation of an endpoint
// now; empty if it may. The start time is zero if the endpoint doesn't report it.
func (r *Registry) ExclusionReason(instance string, startedAt time.Time) string {
	v := r.View()
	switch {
	case v.IsLeaving(instance, startedAt):
		return "it says that it leaves"
	case v.BackoffUntil(instance, startedAt).After(r.now()):
		return "it asked for a back-off"
	}
	return ""
}

// Notices returns all notices, in any order.
func (r *Registry) Notices() []Notice {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Notice, 0, len(r.endpoints))
	for _, e := range r.endpoints {
		if e.Revision > 0 {
			out = append(out, e.Notice)
		}
	}
	return out
}

// RecordAnswer records the statements of an answer. It returns the new notice and true if the
// endpoint's notice has changed, otherwise a zero Notice and false. Statements of an incarnation
// older than the known one are ignored.
func (r *Registry) RecordAnswer(a Answer, s Statements) (Notice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	e := r.endpoints[a.Instance]
	if e == nil {
		if s == (Statements{}) {
			return Notice{}, false
		}
		e = &endpointState{}
		e.Instance = a.Instance
		r.endpoints[a.Instance] = e
	}
	if !e.adoptStart(a.StartedAt) {
		return Notice{}, false
	}
	r.logMalformed(e, a, s)
	r.applyBackoff(e, a, s, now)
	left := r.applyLeaving(e, a, s)
	limited := r.applyRate(e, a, s, now)
	if !left && !limited {
		return Notice{}, false
	}
	e.changedAt = now
	e.Revision++
	r.publish(e)
	return e.Notice, true
}

// ApplyNotice merges a notice of another instance. A notice of an older incarnation is ignored.
func (r *Registry) ApplyNotice(n Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.endpoints[n.Instance]
	if e == nil {
		e = &endpointState{
			Notice: Notice{
				Instance: n.Instance,
			},
		}
		r.endpoints[n.Instance] = e
	}
	if !e.adoptStart(n.StartedAt) {
		return
	}
	if !e.merge(n) {
		return
	}
	now := r.now()
	e.changedAt = now
	if e.Limited {
		e.limitNamedAt = now
	}
	r.log.V(1).Info("received a notice of an endpoint", "endpoint", n.Instance, "limited", n.Limited, "rate", n.Rate, "leaving", n.Leaving,
		"revision", n.Revision)
	r.publish(e)
}

// merge merges a notice of the same incarnation, and reports whether anything changed. The rate
// limit is taken from the notice that replaces the other; an incarnation that is leaving remains
// so.
func (e *endpointState) merge(n Notice) bool {
	before := e.Notice
	if n.replaces(&e.Notice) {
		e.Limited, e.Rate, e.Revision = n.Limited, n.Rate, n.Revision
	}
	e.Leaving = before.Leaving || n.Leaving
	return e.Notice != before
}

// unlistedRetention is how long after its last change a notice is kept for an endpoint that is not
// listed, as the list may lag.
const unlistedRetention = 2 * time.Minute

// RemoveUnlisted removes the endpoints that are not listed and whose notice has not changed for
// unlistedRetention.
func (r *Registry) RemoveUnlisted(listed func(instance string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for instance, e := range r.endpoints {
		if listed(instance) || now.Sub(e.changedAt) < unlistedRetention {
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

// adoptStart resets the state if the start time belongs to a newer incarnation. A zero time means
// that the endpoint doesn't report it, and changes nothing. It returns false if a newer incarnation
// is known.
func (e *endpointState) adoptStart(startedAt time.Time) bool {
	switch {
	case startedAt.IsZero() || startedAt.Equal(e.StartedAt):
		return true
	case startedAt.Before(e.StartedAt):
		return false
	case !e.StartedAt.IsZero():
		*e = endpointState{
			Notice: Notice{
				Instance: e.Instance,
			},
		}
	}
	e.StartedAt = startedAt
	return true
}

// applyRate applies what an answer states about the rate limit, and reports whether the notice
// changed. A missing limit ends the known one only if the request was sent after the limit was last
// stated. The caller must hold the lock.
func (r *Registry) applyRate(e *endpointState, a Answer, s Statements, now time.Time) bool {
	before := e.Notice
	switch {
	case s.RateMalformed:
		return false
	case s.Limited:
		e.limitNamedAt = now
		if e.Limited && (e.Rate == s.Rate || now.Sub(e.changedAt) < minRateHold) {
			return false
		}
		e.Limited, e.Rate = true, s.Rate
	case !e.Limited || !a.SentAt.After(e.limitNamedAt):
		return false
	default:
		e.Limited, e.Rate = false, 0
	}
	r.log.Info("rate limit of an endpoint changed", "endpoint", a.Instance, "limited", e.Limited, "rate", e.Rate,
		"was_limited", before.Limited, "before", before.Rate, "request", a.Request)
	return true
}

// applyLeaving records that the endpoint is leaving if the answer says so, and reports whether the
// notice changed. The caller must hold the lock.
func (r *Registry) applyLeaving(e *endpointState, a Answer, s Statements) bool {
	if !s.Leaving || e.Leaving {
		return false
	}
	e.Leaving = true
	r.log.Info("endpoint says that it leaves", "endpoint", a.Instance, "request", a.Request)
	return true
}

// applyBackoff starts or extends the back-off that an answer asks for. The caller must hold the
// lock.
func (r *Registry) applyBackoff(e *endpointState, a Answer, s Statements, now time.Time) {
	if s.Backoff <= 0 {
		return
	}
	length := min(s.Backoff, maxBackoff)
	until := now.Add(length + rand.N(max(time.Duration(backoffJitter*float64(length)), 1)))
	if !until.After(e.backoffUntil) {
		return
	}
	if !e.backoffUntil.After(now) {
		r.log.Info("endpoint asks for a back-off", "endpoint", a.Instance, "for_ms", s.Backoff.Milliseconds(),
			"kept_ms", until.Sub(now).Milliseconds(), "request", a.Request)
	}
	e.backoffUntil = until
	r.view.Store(r.View().withEndpoint(e, now))
}

// logMalformed logs the first malformed statement of an incarnation. The caller must hold the lock.
func (r *Registry) logMalformed(e *endpointState, a Answer, s Statements) {
	if s.Malformed == "" || e.malformedLogged {
		return
	}
	e.malformedLogged = true
	r.log.Info("statement of an endpoint can't be read", "endpoint", a.Instance, "statement", s.Malformed, "request", a.Request)
}

// publish updates the view and calls the listeners. The caller must hold the lock.
func (r *Registry) publish(e *endpointState) {
	r.view.Store(r.View().withEndpoint(e, r.now()))
	for listener := range r.listeners {
		(*listener)(e.Notice)
	}
}
