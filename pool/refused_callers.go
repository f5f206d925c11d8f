// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import "time"

// callerKey tells a caller that has come back from others: by who pays, and what its prompt
// consists of.
type callerKey struct {
	customer string
	content  uint64
}

// callerKeyOf returns the caller of a request, or false when nothing tells it.
func callerKeyOf(a *PlacementRequest) (callerKey, bool) {
	return callerKey{
		customer: a.Customer,
		content:  a.Content,
	}, a.Content != 0
}

// refusedCallers remembers requests that were refused, so that their callers are known when
// they come back: as late by their first try, and with no further try. Callers name how
// long they still wait, but that tells first tries from others only where all name the
// same time at first.
//
// It belongs to the owner of a pool. A new one takes callers that come back for new ones,
// which are refused at once if they can't be in time. The zero value is ready for use.
type refusedCallers struct {
	callers map[callerKey]refusedCaller
}

// refusedCaller is when a caller asked first, and until when it waits.
type refusedCaller struct {
	firstAskedAt time.Time
	waitsUntil   time.Time
}

// maxRefusedCallers bounds the callers that are remembered: some seconds of all requests of a
// pool of the size to design for.
const maxRefusedCallers = 8192

// add remembers that a request was refused.
func (r *refusedCallers) add(w *Waiter, now time.Time) {
	key, ok := callerKeyOf(&w.ask)
	if !ok {
		return
	}
	if len(r.callers) >= maxRefusedCallers {
		r.expire(now)
	}
	if len(r.callers) >= maxRefusedCallers {
		return
	}
	if r.callers == nil {
		r.callers = make(map[callerKey]refusedCaller)
	}
	r.callers[key] = refusedCaller{
		firstAskedAt: w.arrived.Add(-w.ask.Elapsed),
		waitsUntil:   w.arrived.Add(w.ask.Deadline),
	}
}

// recognize completes an ask whose caller was refused before. What an endpoint had is no new
// try of the caller.
func (r *refusedCallers) recognize(a *PlacementRequest, now time.Time) {
	if a.Retry || a.Replaces.ID != "" {
		return
	}
	key, ok := callerKeyOf(a)
	if !ok {
		return
	}
	first, ok := r.callers[key]
	if !ok {
		return
	}
	delete(r.callers, key)
	if now.After(first.waitsUntil) {
		return
	}
	a.Returning = true
	a.Elapsed = max(a.Elapsed, now.Sub(first.firstAskedAt))
}

// expire drops the callers that wait no longer.
func (r *refusedCallers) expire(now time.Time) {
	for key, first := range r.callers {
		if now.After(first.waitsUntil) {
			delete(r.callers, key)
		}
	}
}

// refuseLate returns the refusal of a request for a long prompt that is late already, or nil
// while it may wait. Ready is when it can be read by what goes before it. It is refused as
// soon as others pay more for the engines' time, or once what was before it when it became
// late is read and it has no place still: others come all the time that go first, so that
// waiting further would be in vain.
func (s *Scheduler) refuseLate(p *poolState, w *Waiter, ready, now time.Time) *Refusal {
	if w.ask.Target <= shortTarget || w.ask.Retry || w.request.TargetAt.After(now) {
		return nil
	}
	if w.placeBy.IsZero() {
		w.placeBy = ready
	}
	if w.request.LateWorth < p.priceNow(now)*p.engineTime(w).Seconds() {
		return s.refusal("engines are needed for requests in time", ready.Sub(now))
	}
	if now.After(w.placeBy) {
		return s.refusal("no endpoint had room for a late request", ready.Sub(now))
	}
	return nil
}
