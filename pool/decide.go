// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"math/rand/v2"
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
	if w.late && w.sheddable() && crowded(list) {
		return Grant{}, false
	}
	plan.Apply(w.request, now)
	return s.grant(p, w, &plan, now), true
}

// The measures of refusing at once.
const (
	// lateFrom is the part of its worth that a request must lose to count as
	// late.
	lateFrom = 0.4
	// crowdedShare is the part of the slots in use from which on a request that
	// would be late is refused: its caller is better off with another try when
	// there is room, and those who come now are in time.
	crowdedShare = 0.8
	// shedTarget is the longest target of requests that are refused at once.
	// Longer ones can wait for their place.
	shedTarget = time.Second
	// shedAfter and shedSpread are when a refused caller may come back: slots
	// become free within a second, and not all should return at once.
	shedAfter  = 600 * time.Millisecond
	shedSpread = 800 * time.Millisecond
)

// sheddable states whether a request may be refused because it would be late.
func (w *waiter) sheddable() bool {
	return !w.ask.Returning && !w.ask.Again && w.ask.Target > 0 && w.ask.Target <= shedTarget
}

// crowded states whether most slots are in use.
func crowded(list []*placement.Engine) bool {
	used, all := 0, 0
	for _, e := range list {
		used += e.Running()
		all += e.Slots
	}
	return float64(used) >= crowdedShare*float64(all)
}

// shed returns the refusal of a request that would be late in a crowded pool, or
// nil.
func (s *Scheduler) shed(p *state, w *waiter, now time.Time) *Refusal {
	if p.plain || !w.late || !w.sheddable() || !crowded(p.usable(&w.ask, now)) {
		return nil
	}
	return &Refusal{
		Reason: "no endpoint can answer in time now",
		After:  shedAfter + rand.N(shedSpread),
	}
}

// soonShare is the part of the time until a request would be late that reading its
// prompt may take for it to be put off when there is no plan in time: the rest is
// for engines to become free.
const soonShare = 0.7

// soonInTime states whether a request that would be late now may still be in time
// at a better moment.
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

// grant notes a place and returns it.
func (s *Scheduler) grant(p *state, w *waiter, plan *placement.Plan, now time.Time) Grant {
	at := &placed{
		instance: plan.Engine.Instance,
		at:       now,
		first:    plan.First,
	}
	g := Grant{
		Instance: plan.Engine.Instance,
		Address:  plan.Engine.Address,
		First:    plan.First,
		Waited:   now.Sub(w.arrived),
		By:       s.settings.Self,
	}
	for _, o := range plan.Others {
		at.readers = append(at.readers, o.Engine.Instance)
		g.Readers = append(g.Readers, Reader{
			Instance: o.Engine.Instance,
			Address:  o.Engine.Address,
			Reserved: o.Hold,
		})
	}
	p.probe(at)
	p.placed[w.ask.ID] = at
	s.log.Info("place", "attempt", w.ask.ID, "service", w.ask.Service, "prompt", w.ask.Prompt, "endpoint", g.Instance,
		"readers", len(g.Readers), "first_ms", g.First.Milliseconds(), "read_ms", plan.Read.Milliseconds(),
		"spoils", plan.Spoils, "loses", plan.Loses, "waited_ms", g.Waited.Milliseconds(), "queue", len(p.queue))
	return g
}

// probe notes that an attempt tries endpoints that had failed.
func (p *state) probe(at *placed) {
	for _, name := range at.endpoints() {
		if h := p.health[name]; h != nil {
			h.all.probing = h.all.failures > failuresTolerated
		}
	}
}
