// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import "time"

// caller tells a caller that has come back from others: by who pays, and what its prompt
// consists of.
type caller struct {
	customer string
	content  uint64
}

// callerOf returns the caller of a request, or false when nothing tells it.
func callerOf(a *PlacementRequest) (caller, bool) {
	return caller{
		customer: a.Customer,
		content:  a.Content,
	}, a.Content != 0
}

// refusedBefore remembers requests that were refused, so that their callers are known when
// they come back: as late by their first try, and with no further try. Callers name how
// long they still wait, but that tells first tries from others only where all name the
// same time at first.
//
// It belongs to the owner of a pool. A new one takes callers that come back for new ones,
// which are refused at once if they can't be in time. The zero value is ready for use.
type refusedBefore struct {
	callers map[caller]firstTry
}

// firstTry is when a caller asked first, and until when it waits.
type firstTry struct {
	at    time.Time
	until time.Time
}

// mostRefused bounds the callers that are remembered: some seconds of all requests of a
// pool of the size to design for.
const mostRefused = 8192

// note remembers that a request was refused.
func (r *refusedBefore) note(w *Waiter, now time.Time) {
	key, ok := callerOf(&w.ask)
	if !ok {
		return
	}
	if len(r.callers) >= mostRefused {
		r.forget(now)
	}
	if len(r.callers) >= mostRefused {
		return
	}
	if r.callers == nil {
		r.callers = make(map[caller]firstTry)
	}
	r.callers[key] = firstTry{
		at:    w.arrived.Add(-w.ask.Elapsed),
		until: w.arrived.Add(w.ask.Deadline),
	}
}

// recall completes an ask whose caller was refused before. What an endpoint had is no new
// try of the caller.
func (r *refusedBefore) recall(a *PlacementRequest, now time.Time) {
	if a.Retry || a.Replaces.ID != "" {
		return
	}
	key, ok := callerOf(a)
	if !ok {
		return
	}
	first, ok := r.callers[key]
	if !ok {
		return
	}
	delete(r.callers, key)
	if now.After(first.until) {
		return
	}
	a.Returning = true
	a.Elapsed = max(a.Elapsed, now.Sub(first.at))
}

// forget drops the callers that wait no longer.
func (r *refusedBefore) forget(now time.Time) {
	for key, first := range r.callers {
		if now.After(first.until) {
			delete(r.callers, key)
		}
	}
}

// overdue returns the refusal of a request for a long prompt that is late already, or nil
// while it may wait. Ready is when it can be read by what goes before it. It is refused as
// soon as others pay more for the engines' time, or once what was before it when it became
// late is read and it has no place still: others come all the time that go first, so that
// waiting further would be in vain.
func (s *Scheduler) overdue(p *state, w *Waiter, ready, now time.Time) *Refusal {
	if w.ask.Target <= shedTarget || w.ask.Retry || w.request.TargetAt.After(now) {
		return nil
	}
	if w.placeBy.IsZero() {
		w.placeBy = ready
	}
	if w.request.LateWorth < p.priceNow(now)*p.work(w).Seconds() {
		return s.refusal("engines are needed for requests in time", ready.Sub(now))
	}
	if now.After(w.placeBy) {
		return s.refusal("no endpoint had room for a late request", ready.Sub(now))
	}
	return nil
}
