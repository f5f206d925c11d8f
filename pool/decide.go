// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"slices"
	"time"

	"github.com/linkmast/linkmast/internal/rendezvous"
	"github.com/linkmast/linkmast/placement"
)

// The measures of a decision.
const (
	// toleratedHarm is what a request may cost others without waiting for a better
	// moment, in units of worth: a fifth of a short one.
	toleratedHarm = 0.25
	// harmFactor is how much of its worth a request must keep for each unit that
	// others lose.
	harmFactor = 1.7
	// deferFirstShare is the part of the time until a request would be late that its
	// first event may take for the request to be put off still.
	deferFirstShare = 0.7
	// deferPrefillShare is the part of the time until a request would be late that
	// reading its prompt may take for it to be put off when there is no plan in
	// time: the rest is for engines to become free.
	deferPrefillShare = 0.7
)

// tryPlace places a request if this is the moment for it: its best plan covers what it
// costs others, and no later moment is likely to be better. The caller holds the lock.
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
		p.price.note(p.engineTime(w), w.worthLost(&plan), now)
		plan.Apply(w.request, now)
		return s.grant(p, w, &plan, now), true
	}
	return Grant{}, false
}

// rotated returns the engines in an order that begins at another one on each instance.
// Prompts fill the engines from the front, which is right where one instance decides.
// Many that place alone all filled the same ones: of 300 instances that started
// together, 420 of the first 500 requests were rejected by full engines.
func (s *Scheduler) rotated(list []*placement.Engine) []*placement.Engine {
	at := rendezvous.Index(s.settings.Self, len(list))
	return slices.Concat(list[at:], list[:at])
}

// shouldDefer states whether a request should wait for a better moment: it would be
// late now and may still be in time, or costs others something now and has time left.
// With a short target no such moment comes early enough.
func (w *Waiter) shouldDefer(plan *placement.Plan, list []*placement.Engine, now time.Time) bool {
	left := w.request.TargetAt.Sub(now)
	if w.ask.isShort() || left <= 0 {
		return false
	}
	if w.late && placement.MinPrefillTime(list, w.request) < time.Duration(deferPrefillShare*float64(left)) {
		return true
	}
	return plan.OthersLoss > toleratedHarm && plan.TimeToFirstEvent < time.Duration(deferFirstShare*float64(left))
}

// lateFromStart states whether a request was late when it came: its caller has come
// back, or its first endpoint failed.
func (w *Waiter) lateFromStart() bool {
	return !w.request.TargetAt.After(w.arrived)
}

// coversCost states whether what a request keeps covers what others lose by its plan, and
// the price of the engines' time that it takes.
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

// yields states whether a request is short and was late when its caller came back. It
// gets slots while not most of them are in use, and then displaces nobody, whatever the
// price; one whose endpoint failed has been worked on, and does not yield. It
// guards against the backlog of an outage keeping the slots from all who come after it:
// of as many new callers as the slots can take, 0.88 of those that came in the four
// seconds after an outage of 4 s were in time with it and 62 others served late, 0.49
// and 169 when callers that have come back counted as new ones (emulated pool of the
// tests).
func (w *Waiter) yields() bool {
	return w.lateFromStart() && !w.ask.Retry && w.ask.isShort()
}

// remainingWorth returns what a request keeps still if it is served at once: one that was late when
// it came keeps what a late answer is worth.
func (w *Waiter) remainingWorth() float64 {
	if w.lateFromStart() {
		return w.request.LateWorth
	}
	return w.request.Worth
}

// worthLost returns what a request loses for want of room by a plan that makes it late. One
// that was late when it came, like one whose first engine failed, loses nothing more.
func (w *Waiter) worthLost(plan *placement.Plan) float64 {
	if !w.late || w.lateFromStart() {
		return 0
	}
	return plan.OwnLoss
}
