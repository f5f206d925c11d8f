// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/linkmast/linkmast/placement"
)

// The measures of waiting.
const (
	// spoilsTolerated is what a request may cost others at any time.
	spoilsTolerated = 0.25
	// waitShare is the part of a request's target that it may wait for a
	// better moment.
	waitShare = 0.7
	// forceShare is the part of its deadline after which a request may cost
	// others forceFactor of what it keeps, so that it is not put off for ever.
	// spoilsPrice is what a loss of others must bring.
	spoilsPrice = 1.7
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
	if !ok || !w.worthIt(&plan, now) {
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

// shed returns the refusal of a request that would be late in a crowded pool.
func (s *Scheduler) shed(p *state, w *waiter, now time.Time) *Refusal {
	if p.plain || !w.late || !w.sheddable() || !crowded(p.usable(&w.ask, now)) {
		return nil
	}
	return &Refusal{
		Reason: "no endpoint can answer in time now",
		After:  shedAfter + rand.N(shedSpread),
	}
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
	if w.ask.Target <= shedTarget {
		// It would be late before a better moment comes.
		return spoilsPrice*plan.Spoils < keeps
	}
	left := w.request.TargetAt.Sub(now)
	if plan.First < time.Duration(float64(left)*waitShare) {
		// There is time for a better moment.
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
	for _, name := range append(at.readers, at.instance) {
		if h := p.health[name]; h != nil {
			h.all.probing = h.all.failures > failuresTolerated
		}
	}
}

// tryPlain places a request on the plain endpoint with the least work for its
// slots, counting recent failures as work.
func (s *Scheduler) tryPlain(p *state, w *waiter, list []*placement.Engine, now time.Time) (Grant, bool) {
	best := slices.MinFunc(list, func(a, b *placement.Engine) int {
		return compareFloat(p.load(a), p.load(b))
	})
	best.Jobs = append(best.Jobs, &placement.Job{
		ID: w.ask.ID,
	})
	return s.grant(p, w, &placement.Plan{
		Engine: best,
	}, now), true
}

// failureLoad is what a failure rate of one adds to the load of an endpoint.
const failureLoad = 4

func (p *state) load(e *placement.Engine) float64 {
	return float64(len(e.Jobs))/float64(e.Slots) + failureLoad*p.health[e.Instance].rate
}

func compareFloat(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// review looks at all waiting requests. It returns whether any still wait.
func (s *Scheduler) review(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting := false
	for _, p := range s.pools {
		s.reviewPool(p, now)
		waiting = waiting || len(p.queue) > 0
	}
	return waiting
}

func (s *Scheduler) reviewPool(p *state, now time.Time) {
	if len(p.queue) == 0 {
		return
	}
	slices.SortStableFunc(p.queue, func(a, b *waiter) int {
		return compareFloat(a.urgency(now), b.urgency(now))
	})
	kept := p.queue[:0]
	for _, w := range p.queue {
		if g, ok := s.try(p, w, now); ok {
			w.reply <- g
			continue
		}
		r := s.shed(p, w, now)
		if r == nil {
			r = w.hopeless(now)
		}
		if r != nil {
			s.logRefusal(p, w, r, now)
			w.refuse <- r
			continue
		}
		kept = append(kept, w)
	}
	clear(p.queue[len(kept):])
	p.queue = kept
}

// urgency orders waiting requests: the one with the least time until it is late
// goes first, less urgent customers after, and what is late already last.
func (w *waiter) urgency(now time.Time) float64 {
	left := w.request.TargetAt.Sub(now)
	if left <= 0 {
		left += lateSeconds * time.Second
	}
	return left.Seconds() + rankSeconds*float64(w.ask.Rank)
}

// lateSeconds puts late requests behind all others.
const lateSeconds = 100

// rankSeconds is how much later a request counts for each rank of its customer.
const rankSeconds = 0.3

// refuseShare is the part of its deadline after which a request that found no
// place is refused, so that its caller can come back in time.
const refuseShare = 0.6

// hopeless returns a refusal for a request that waited too long.
func (w *waiter) hopeless(now time.Time) *Refusal {
	if now.Sub(w.arrived) < time.Duration(float64(w.ask.Deadline)*refuseShare) {
		return nil
	}
	return &Refusal{
		Reason: "no endpoint can take the request now",
		After:  retryAfter,
	}
}
