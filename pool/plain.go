// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/linkmast/linkmast/placement"
)

// tryPlain places a request on the plain endpoint with the least work for its
// slots, counting recent failures as work. Among equals each instance has an order of
// its own: with one order for all, 300 instances that had nothing running all sent to
// the same of twelve endpoints, now to each at most twice its share (TestPlainSpread).
// An instance goes where it has a connection as long as it has little to do.
func (s *Scheduler) tryPlain(p *poolState, w *Waiter, list []*placement.Engine, now time.Time) (Grant, bool) {
	list = p.cold.withinLimit(list, byInstance, now)
	if len(list) == 0 {
		return Grant{}, false
	}
	paces := p.plainSlowdowns(now)
	best := slices.MinFunc(list, func(a, b *placement.Engine) int {
		return cmp.Or(cmp.Compare(p.load(a, paces), p.load(b, paces)),
			cmp.Compare(p.health[b.Instance].preference, p.health[a.Instance].preference))
	})
	addPlain(best, w.ask.ID)
	return s.grant(p, w, &placement.Plan{
		Engine: best,
	}, now), true
}

// addPlain notes that an attempt runs on a plain endpoint.
func addPlain(e *placement.Engine, id string) {
	e.Jobs = append(e.Jobs, &placement.Job{
		ID: id,
	})
}

// failureWeight is what a failure rate of one adds to the load of an endpoint.
const failureWeight = 4

// load returns how busy a plain endpoint would be beside one more request, in requests for
// each of its slots. Those of one that is slow, by its pace, count for more.
func (p *poolState) load(e *placement.Engine, paces map[string]float64) float64 {
	busy := float64(len(e.Jobs))
	if pace, slow := paces[e.Instance]; slow {
		busy = (busy+1)*pace - 1
	}
	return busy/float64(e.Slots) + failureWeight*p.health[e.Instance].failureRate
}
