// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"slices"
	"time"

	"github.com/linkmast/linkmast/internal/rendezvous"
	"github.com/linkmast/linkmast/placement"
)

// Parameters of placement decisions.
const (
	// toleratedHarm is the loss of other requests, in units of worth, up to which a plan is
	// neither deferred nor has to cover that loss.
	toleratedHarm = 0.25
	// harmFactor is how much worth a request must keep for each unit of worth that other
	// requests lose by its plan.
	harmFactor = 1.7
	// deferFirstShare is the part of the time left until the target that the predicted first
	// event may take for a request to be deferred.
	deferFirstShare = 0.7
	// deferPrefillShare is the part of the time left until the target that the prefill may take
	// for a late request to be deferred. The rest is left for engines to become free.
	deferPrefillShare = 0.7
)

// tryPlace places a request by its best plan. It returns false if there is no plan, if the
// first event would come too late for the caller, if the plan costs other requests too much, or
// if the request should wait for a better moment. The caller must hold s.mu.
func (s *Scheduler) tryPlace(p *poolState, w *Waiter, now time.Time) (Grant, bool) {
	list := p.usable(w, now)
	if len(list) == 0 {
		return Grant{}, false
	}
	if p.plain {
		return s.tryPlain(p, w, list, now)
	}
	p.cold.markFull(list, p.decider(w), now)
	if w.fallback {
		list = s.rotated(list)
	}
	w.request.LongPrefills = p.prefillLoad(w, now)
	plan, ok := placement.MakePlan(list, w.request, now)
	w.late = !ok || plan.OwnLoss > lateLossShare*w.request.Worth
	switch {
	case !ok:
	case now.Add(plan.TimeToFirstEvent).After(w.givesUpAt()):
	case w.outOfSlots(list) || w.yields() && mostSlotsUsed(list):
	case w.shouldDefer(&plan, list, now):
	case s.yieldsToBurst(p, w, &plan, len(list), now):
	case !p.coversCost(w, &plan, now):
	default:
		p.price.record(p.engineTime(w), w.worthLost(&plan), now)
		plan.Apply(w.request, now)
		return s.grant(p, w, &plan, now), true
	}
	return Grant{}, false
}

// rotated returns the engines in an order whose start depends on the instance. Plans fill
// engines from the front of the list, so that instances which place independently of each other
// would otherwise overload the same engines.
func (s *Scheduler) rotated(list []*placement.Engine) []*placement.Engine {
	at := rendezvous.Index(s.settings.Self, len(list))
	return slices.Concat(list[at:], list[:at])
}

// shouldDefer states whether a request should wait for a better moment: its plan would make it
// late although it could still be in time on free engines, or the plan harms other requests and
// there is time left. Short requests are never deferred, as no better moment comes in time for
// them.
func (w *Waiter) shouldDefer(plan *placement.Plan, list []*placement.Engine, now time.Time) bool {
	left := w.request.TargetAt.Sub(now)
	if w.placementRequest.isShort() || left <= 0 {
		return false
	}
	if w.late && placement.MinPrefillTime(list, w.request) < time.Duration(deferPrefillShare*float64(left)) {
		return true
	}
	return plan.OthersLoss > toleratedHarm && plan.TimeToFirstEvent < time.Duration(deferFirstShare*float64(left))
}

// lateFromStart states whether the request was late on arrival, as its caller has come back or
// its first endpoint failed.
func (w *Waiter) lateOnArrival() bool {
	return !w.request.TargetAt.After(w.arrived)
}

// coversCost states whether the worth that a request keeps under its plan covers the price of
// the engine time that it takes and the loss of other requests. Requests that yield don't pay
// the price.
func (p *poolState) coversCost(w *Waiter, plan *placement.Plan, now time.Time) bool {
	keeps := w.request.Worth - plan.OwnLoss
	if !w.yields() && keeps < p.priceNow(now)*p.engineTime(w).Seconds() {
		return false
	}
	if plan.OthersLoss <= toleratedHarm {
		return true
	}
	return keeps > harmFactor*plan.OthersLoss
}

// yields states whether a short request was late on arrival and has not been sent to an
// endpoint before, as its caller has come back after a refusal. Such a request is placed only
// while fewer than usedSlotsLimit of the slots are in use, whatever the price. It guards
// against the backlog of an outage taking the slots from new requests. A request whose endpoint
// failed doesn't yield, since work was spent on it.
func (w *Waiter) yields() bool {
	return w.lateOnArrival() && !w.placementRequest.Retry && w.placementRequest.isShort()
}

// remainingWorth returns the worth that a request would still have if it were answered at once:
// LateWorth if it was late on arrival.
func (w *Waiter) remainingWorth() float64 {
	if w.lateOnArrival() {
		return w.request.LateWorth
	}
	return w.request.Worth
}

// worthLost returns the worth that a request loses by a plan that makes it late. A request that
// was late on arrival loses nothing more.
func (w *Waiter) worthLost(plan *placement.Plan) float64 {
	if !w.late || w.lateOnArrival() {
		return 0
	}
	return plan.OwnLoss
}
