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
	// toleratedHarm is the largest loss of other requests, in units of worth, that doesn't count
	// against a plan: it neither defers the request nor is weighed against the worth that the
	// request keeps.
	toleratedHarm = 0.25
	// harmFactor is how much worth a request must keep by its plan for each unit of worth that
	// other requests lose by it.
	harmFactor = 1.7
	// A request that harms others is deferred only if its predicted time to the first event is
	// below deferFirstShare of the time left until its target.
	deferFirstShare = 0.7
	// A request that its plan makes late is deferred only if its prefill on idle engines takes less
	// than deferPrefillShare of the time left until its target. The rest is left for engines to
	// become free.
	deferPrefillShare = 0.7
)

// tryPlace places a request by its best plan. It returns false if no endpoint is usable, there is
// no plan, the caller would give up before the first event, too few slots are free, the request
// should wait for a better moment or a reconnect burst, or it is not worth what the plan costs. The
// caller must hold s.mu.
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

// rotated returns the engines, rotated by an offset that depends on this instance. Plans fill
// engines from the front of the list, so that instances which place independently of each other
// would otherwise overload the same engines.
func (s *Scheduler) rotated(list []*placement.Engine) []*placement.Engine {
	at := rendezvous.Index(s.settings.Self, len(list))
	return slices.Concat(list[at:], list[:at])
}

// shouldDefer reports whether a request should wait for a better moment: its plan would make it
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

// lateOnArrival reports whether the request was late on arrival, as its caller has come back or its
// first endpoint failed.
func (w *Waiter) lateOnArrival() bool {
	return !w.request.TargetAt.After(w.arrived)
}

// coversCost reports whether a request keeps enough worth under its plan: at least the price of its
// engine time and, if the loss of other requests is above toleratedHarm, more than harmFactor times
// that loss. Requests that yield are exempt from the price.
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

// yields reports whether a request must leave the last free slots to others: it is short, was late
// on arrival and was not sent to an endpoint before, so its caller has probably come back after a
// refusal. Such a request is placed only while less than usedSlotsLimit of the slots is in use, and
// is exempt from the price. Otherwise the backlog of an outage would take the slots from new
// requests. A request whose endpoint failed doesn't yield, since work was spent on it.
func (w *Waiter) yields() bool {
	return w.lateOnArrival() && !w.placementRequest.Retry && w.placementRequest.isShort()
}

// remainingWorth returns the worth that a request could still have when it arrived: LateWorth if it
// was late on arrival.
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
