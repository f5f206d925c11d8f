// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import "time"

// callerKey identifies a caller that comes back, by its customer and a hash of its prompt.
type callerKey struct {
	customer string
	content  uint64
}

// callerKeyOf returns the key of a request's caller, or false if the hash of the prompt is
// unknown.
func callerKeyOf(a *PlacementRequest) (callerKey, bool) {
	return callerKey{
		customer: a.Customer,
		content:  a.Content,
	}, a.Content != 0
}

// refusedCallers remembers the callers of refused requests to recognize them when they come back.
// When a caller comes back, the elapsed time of its request counts from its first try, and the
// request is assumed to be its last try. Deadlines don't distinguish first tries from later ones,
// unless all callers start with the same deadline.
//
// Each instance remembers the refusals that it decided. A new owner of a pool therefore takes
// returning callers for new ones, and refuses them at once if they can't be in time. The zero
// value is ready for use.
type refusedCallers struct {
	callers map[callerKey]refusedCaller
}

// refusedCaller holds when a caller made its first try, and until when it waits.
type refusedCaller struct {
	firstTryAt time.Time
	waitsUntil time.Time
}

// maxRefusedCallers bounds the remembered callers. It is enough for some seconds of refusals in a
// large pool.
const maxRefusedCallers = 8192

// add remembers the caller of a refused request, unless the hash of its prompt is unknown or
// maxRefusedCallers remembered callers still wait.
func (r *refusedCallers) add(w *Waiter, now time.Time) {
	key, ok := callerKeyOf(&w.placementRequest)
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
		firstTryAt: w.arrived.Add(-w.placementRequest.Elapsed),
		waitsUntil: w.arrived.Add(w.placementRequest.Deadline),
	}
}

// recognize sets Returning and Elapsed of a request whose caller was refused before and still
// waits, and forgets the caller. Requests that were already sent to an endpoint are not a new try
// of the caller and stay unchanged.
func (r *refusedCallers) recognize(a *PlacementRequest, now time.Time) {
	if a.Retry || a.Replaces.ID != "" {
		return
	}
	key, ok := callerKeyOf(a)
	if !ok {
		return
	}
	caller, ok := r.callers[key]
	if !ok {
		return
	}
	delete(r.callers, key)
	if now.After(caller.waitsUntil) {
		return
	}
	a.Returning = true
	a.Elapsed = max(a.Elapsed, now.Sub(caller.firstTryAt))
}

// expire removes the callers that don't wait any more.
func (r *refusedCallers) expire(now time.Time) {
	for key, caller := range r.callers {
		if now.After(caller.waitsUntil) {
			delete(r.callers, key)
		}
	}
}

// refuseLate returns the refusal of a request with a long prompt that is late already, or nil if it
// may wait. Ready is when its prefill can be done after the work ahead of it. The request is
// refused if its late answer is worth less than the price of its engine time. It is also refused
// once the first value of ready, kept in placeBy, has passed: more urgent requests keep arriving,
// so waiting longer would not help. Retries are never refused here.
func (s *Scheduler) refuseLate(p *poolState, w *Waiter, ready, now time.Time) *Refusal {
	if w.placementRequest.Target <= shortTarget || w.placementRequest.Retry || w.request.TargetAt.After(now) {
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
