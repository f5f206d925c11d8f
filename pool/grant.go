// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"time"

	"github.com/linkmast/linkmast/placement"
)

// grant notes a place and returns it.
func (s *Scheduler) grant(p *state, w *Waiter, plan *placement.Plan, now time.Time) Grant {
	born := p.health[plan.Engine.Instance].born
	at := &placed{
		instance: plan.Engine.Instance,
		born:     born,
		at:       now,
		first:    plan.First,
		work:     w.work(),
		entry:    w.entry,
		watched:  w.ask.watched(),
	}
	g := Grant{
		Instance:     plan.Engine.Instance,
		Address:      plan.Engine.Address,
		StartedAt:    born,
		FirstEventIn: plan.First,
		Waited:       now.Sub(w.arrived),
		DecidedBy:    s.settings.Self,
	}
	for _, o := range plan.Others {
		at.readers = append(at.readers, o.Engine.Instance)
		g.Shares = append(g.Shares, PrefillShare{
			Instance: o.Engine.Instance,
			Address:  o.Engine.Address,
			Reserved: o.Hold,
		})
	}
	withheld := p.withheld(w, now)
	p.passedOver += int64(withheld)
	limit, _ := p.limit(plan.Engine, p.notices.View())
	p.countAssignment(at, now)
	p.markProbes(at, now)
	p.cold.give(at.instance, now)
	p.paces.decided, p.paces.alone = now, w.alone
	p.placed[w.ask.ID] = at
	s.log.Info("place", "attempt", w.ask.ID, "service", w.ask.Service, "prompt", w.ask.Prompt,
		"returning", w.ask.Returning, "rank", w.ask.Rank, "route_rank", w.ask.RouteRank, "worth", w.request.Worth, "endpoint", g.Instance,
		"readers", at.readers, "first_ms", g.FirstEventIn.Milliseconds(), "read_ms", plan.Read.Milliseconds(),
		"spoils", plan.Spoils, "loses", plan.Loses, "waited_ms", g.Waited.Milliseconds(), "queue", len(p.queue),
		"work_ms", p.work(w).Milliseconds(), "price", p.priceNow(now),
		"due_ms", w.request.TargetAt.Sub(now).Milliseconds(), "resumed", w.ask.Resumed,
		"withheld", withheld, "limit", limit.Rate, "limit_age_ms", limit.Age(now).Milliseconds())
	return g
}

// countAssignment notes that the endpoints of an attempt have a request more.
func (p *state) countAssignment(at *placed, now time.Time) {
	for _, name := range at.endpoints() {
		if h := p.health[name]; h != nil {
			h.given.note(now)
		}
	}
}

// markProbes notes that an attempt tries endpoints that had failed.
func (p *state) markProbes(at *placed, now time.Time) {
	for _, name := range at.endpoints() {
		h := p.health[name]
		if h == nil {
			continue
		}
		h.all.probing = h.all.failures > failuresTolerated
		if h.all.probing {
			p.cold.assume(name, now)
		}
	}
}
