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
func (s *Scheduler) tryPlain(p *state, w *Waiter, list []*placement.Engine, now time.Time) (Grant, bool) {
	list = p.cold.open(list, byEach, now)
	if len(list) == 0 {
		return Grant{}, false
	}
	best := slices.MinFunc(list, func(a, b *placement.Engine) int {
		return cmp.Or(cmp.Compare(p.load(a), p.load(b)),
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

// failureLoad is what a failure rate of one adds to the load of an endpoint.
const failureLoad = 4

// load returns how busy a plain endpoint is, in requests for each of its slots.
func (p *state) load(e *placement.Engine) float64 {
	return float64(len(e.Jobs))/float64(e.Slots) + failureLoad*p.health[e.Instance].rate
}
