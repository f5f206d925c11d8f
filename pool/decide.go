// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"time"

	"github.com/linkmast/linkmast/placement"
)

// The measures of waiting.
const (
	// spoilsTolerated is what a request may cost others at any time, in units of
	// worth.
	spoilsTolerated = 0.25
	// spoilsPrice is how much of its worth a request must keep for each unit
	// that others lose.
	spoilsPrice = 1.7
	// waitShare is the part of the time until a request would be late that its
	// first event may take for the request to be put off still.
	waitShare = 0.7
	// soonShare is the part of the time until a request would be late that
	// reading its prompt may take for it to be put off when there is no plan in
	// time: the rest is for engines to become free.
	soonShare = 0.7
	// forceShare is the part of its deadline after which what a request keeps
	// counts forceFactor times, so that it is not put off for ever.
	forceShare  = 0.3
	forceFactor = 2
)

// try places a request if this is a good moment. The caller holds the lock.
func (s *Scheduler) try(p *state, w *waiter, now time.Time) (Grant, bool) {
	list := p.usable(&w.ask, now)
	if len(list) == 0 {
		return Grant{}, false
	}
	if p.plain {
		return s.tryPlain(p, w, list, now)
	}
	plan, ok := placement.Make(list, w.request, now)
	w.late = !ok || plan.Loses > lateFrom*w.request.Worth
	if !ok || w.soonInTime(list, now) || !w.worthIt(&plan, now) {
		return Grant{}, false
	}
	if w.sheddable() && crowded(list) {
		return Grant{}, false
	}
	plan.Apply(w.request, now)
	return s.grant(p, w, &plan, now), true
}

// soonInTime states whether a request that would be late now may still be in time
// at a better moment. With a short target no such moment comes early enough.
func (w *waiter) soonInTime(list []*placement.Engine, now time.Time) bool {
	left := w.request.TargetAt.Sub(now)
	if !w.late || w.ask.Target <= shedTarget || left <= 0 {
		return false
	}
	return placement.Soonest(list, w.request) < time.Duration(soonShare*float64(left))
}

// worthIt states whether a plan should be carried out now rather than later.
func (w *waiter) worthIt(plan *placement.Plan, now time.Time) bool {
	waited := now.Sub(w.arrived)
	if plan.First > w.ask.Deadline-waited {
		return false
	}
	if plan.Spoils <= spoilsTolerated {
		return true
	}
	keeps := w.request.Worth - plan.Loses
	left := w.request.TargetAt.Sub(now)
	if w.ask.Target > shedTarget && plan.First < time.Duration(float64(left)*waitShare) {
		// There is time for a better moment, as there is not with a short target.
		return false
	}
	if waited > time.Duration(float64(w.ask.Deadline)*forceShare) {
		keeps *= forceFactor
	}
	return spoilsPrice*plan.Spoils < keeps
}
