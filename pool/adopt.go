// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import "github.com/linkmast/linkmast/placement"

// Adopt records an attempt of this instance that another one placed, so that this scheduler can
// take over as owner. Begun is set if the attempt's first event has come. It changes nothing if the
// attempt is known.
func (s *Scheduler) Adopt(a PlacementRequest, g Grant, begun bool) {
	s.adoptFor(a, g, s.settings.Self, begun)
}

// adoptFor records an attempt of an entry instance. A known attempt only stops being an orphan. An
// attempt on an unknown endpoint, or on an earlier incarnation of a known one, is not recorded. It
// still counts for the retry budget, and may count as a reconnect. First sends of this instance are
// not counted here, as CountFirst counts them.
func (s *Scheduler) adoptFor(a PlacementRequest, g Grant, entry string, begun bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(a.Service)
	if at, ok := p.attempts[a.ID]; ok {
		at.orphanMark = 0
		return
	}
	now := s.settings.Now()
	by := s.processes.of(entry)
	p.retries.setDecider(by, g.DecidedBy, now)
	switch {
	case a.Retry:
		p.retries.countRetry(&s.processes, by, now)
	case !a.Counted && entry != s.settings.Self:
		p.retries.countFirst(&s.processes, by, now)
	}
	w := s.newWaiter(p, a, now)
	p.reconnects.match(w, now)
	e := p.engines[g.Instance]
	if e == nil || p.isStale(&g) {
		return
	}
	at := &attempt{
		endpoint:       g.Instance,
		startedAt:      g.StartedAt,
		placedAt:       now,
		predictedFirst: g.FirstEventIn,
		begun:          begun,
		workload:       w.workload(),
		entry:          entry,
		watched:        a.watched(),
	}
	if a.Retry {
		at.retryBy = by
	}
	if !begun {
		p.cold.recordPlacement(g.Instance, now)
	}
	if p.plain {
		p.countPlacement(at, now)
		addPlain(e, a.ID)
		p.attempts[a.ID] = at
		return
	}
	plan := p.planFromGrant(&a, &g, e)
	for _, o := range plan.Others {
		at.helpers = append(at.helpers, o.Engine.Instance)
	}
	p.countPlacement(at, now)
	plan.Apply(w.request, now)
	p.attempts[a.ID] = at
	if begun {
		p.applyFirstEvent(a.ID, at, now)
	}
}

// planFromGrant reconstructs the plan behind a grant, as far as its endpoints are known here.
func (p *poolState) planFromGrant(a *PlacementRequest, g *Grant, e *placement.Engine) placement.Plan {
	plan := placement.Plan{
		Engine:      e,
		PrefillTime: e.Model.PrefillTime(a.Prompt, len(g.Shares)+1),
		Memory:      a.Prompt + a.Output,
	}
	for _, r := range g.Shares {
		o := p.engines[r.Instance]
		if o == nil {
			continue
		}
		plan.Memory -= r.Reserved
		plan.Others = append(plan.Others, placement.Share{
			Engine: o,
			Memory: r.Reserved,
		})
	}
	return plan
}

// markOrphans marks the attempts of an ended session as orphans, and returns their mark. Attempts
// has the service of each attempt by ID.
func (s *Scheduler) markOrphans(attempts map[string]string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastOrphanMark++
	now := s.settings.Now()
	for id, service := range attempts {
		if at := s.pool(service).attempts[id]; at != nil {
			at.orphanMark, at.interruptedAt = s.lastOrphanMark, now
		}
	}
	return s.lastOrphanMark
}

// endOrphans ends the attempts that still have the mark, since no later session reported them.
func (s *Scheduler) endOrphans(attempts map[string]string, mark int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, service := range attempts {
		p := s.pool(service)
		if at := p.attempts[id]; at != nil && at.orphanMark == mark {
			p.reconnects.recordInterrupted(at, at.interruptedAt)
			p.endAttempt(id)
		}
	}
}
