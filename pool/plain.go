// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/linkmast/linkmast/placement"
)

// tryPlain places a request on the plain endpoint with the least load. Among endpoints of equal
// load, each instance has its own order of preference, so that idle instances spread over the
// endpoints, and an idle instance reuses its connection. The caller must hold s.mu.
func (s *Scheduler) tryPlain(p *poolState, w *Waiter, list []*placement.Engine, now time.Time) (Grant, bool) {
	list = p.cold.withinLimit(list, byInstance, now)
	if len(list) == 0 {
		return Grant{}, false
	}
	slowdowns := p.plainSlowdowns(now)
	best := slices.MinFunc(list, func(a, b *placement.Engine) int {
		return cmp.Or(cmp.Compare(p.load(a, slowdowns, now), p.load(b, slowdowns, now)),
			cmp.Compare(p.health[b.Instance].preference, p.health[a.Instance].preference))
	})
	addPlain(best, w.placementRequest.ID)
	return s.grant(p, w, &placement.Plan{
		Engine: best,
	}, now), true
}

// addPlain adds the job of an attempt to a plain endpoint.
func addPlain(e *placement.Engine, id string) {
	e.Jobs = append(e.Jobs, &placement.Job{
		ID: id,
	})
}

// failureWeight is the load that a failure rate of 1 adds to an endpoint.
const failureWeight = 4

// load returns the load that a request finds on a plain endpoint: the number of requests for each
// slot, plus a penalty for recent failures. For an endpoint in slowdowns, the number of requests,
// including the new one, is multiplied by its slowdown, and the new one is then subtracted.
func (p *poolState) load(e *placement.Engine, slowdowns map[string]float64, now time.Time) float64 {
	busy := float64(len(e.Jobs))
	if slowdown, slow := slowdowns[e.Instance]; slow {
		busy = (busy+1)*slowdown - 1
	}
	return busy/float64(e.Slots) + failureWeight*p.health[e.Instance].recentFailureRate(now)
}
