// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"time"

	"github.com/linkmast/linkmast/placement"
)

// grant records and logs the placement of a request by a plan, and returns the grant. The caller
// must hold s.mu.
func (s *Scheduler) grant(p *poolState, w *Waiter, plan *placement.Plan, now time.Time) Grant {
	startedAt := p.health[plan.Engine.Instance].startedAt
	at := &attempt{
		endpoint:       plan.Engine.Instance,
		startedAt:      startedAt,
		placedAt:       now,
		predictedFirst: plan.TimeToFirstEvent,
		workload:       w.workload(),
		entry:          w.entry,
		watched:        w.placementRequest.watched(),
	}
	g := Grant{
		Instance:     plan.Engine.Instance,
		Address:      plan.Engine.Address,
		StartedAt:    startedAt,
		FirstEventIn: plan.TimeToFirstEvent,
		Waited:       now.Sub(w.arrived),
		DecidedBy:    s.settings.Self,
	}
	for _, o := range plan.Others {
		at.helpers = append(at.helpers, o.Engine.Instance)
		g.Shares = append(g.Shares, PrefillShare{
			Instance: o.Engine.Instance,
			Address:  o.Engine.Address,
			Reserved: o.Memory,
		})
	}
	withheld := p.withheld(w, now)
	p.passedOver += int64(withheld)
	limit, _ := p.rateLimit(plan.Engine, p.notices.View())
	p.countPlacement(at, now)
	p.markProbes(at, now)
	p.cold.recordPlacement(at.endpoint, now)
	p.slowdowns.decidedAt, p.slowdowns.fallback = now, w.fallback
	p.settleRetry(w)
	if w.placementRequest.Retry {
		s.countRetry(p, at, s.processes.of(w.entry), now)
	}
	p.attempts[w.placementRequest.ID] = at
	s.log.Info("place", "attempt", w.placementRequest.ID, "service", w.placementRequest.Service, "prompt", w.placementRequest.Prompt,
		"returning", w.placementRequest.Returning, "rank", w.placementRequest.Rank, "route_rank", w.placementRequest.RouteRank, "worth", w.request.Worth, "endpoint", g.Instance,
		"readers", at.helpers, "first_ms", g.FirstEventIn.Milliseconds(), "read_ms", plan.PrefillTime.Milliseconds(),
		"spoils", plan.OthersLoss, "loses", plan.OwnLoss, "waited_ms", g.Waited.Milliseconds(), "queue", len(p.queue),
		"work_ms", p.engineTime(w).Milliseconds(), "price", p.priceNow(now),
		"due_ms", w.request.TargetAt.Sub(now).Milliseconds(), "resumed", w.placementRequest.Resumed,
		"withheld", withheld, "limit", limit.Rate, "limit_age_ms", limit.Age(now).Milliseconds())
	return g
}

// countPlacement counts a request at each endpoint of an attempt, for their rate limits.
func (p *poolState) countPlacement(at *attempt, now time.Time) {
	for _, name := range at.endpoints() {
		if h := p.health[name]; h != nil {
			h.placements.add(now)
		}
	}
}

// markProbes makes the attempt the probe request of those of its endpoints that have failed
// repeatedly: while others are usable, they get no other request until its first event or its end.
// Such an endpoint may have restarted, so it counts as cold.
func (p *poolState) markProbes(at *attempt, now time.Time) {
	for _, name := range at.endpoints() {
		h := p.health[name]
		if h == nil {
			continue
		}
		h.shared.probing = h.shared.failures > toleratedFailures
		if h.shared.probing {
			p.cold.assumeCold(name, now)
		}
	}
}
