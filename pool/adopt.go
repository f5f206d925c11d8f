// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import "github.com/linkmast/linkmast/placement"

// Adopt takes over an attempt that another instance placed. It changes nothing
// when the attempt is known.
func (s *Scheduler) Adopt(a PlacementRequest, g Grant, begun bool) {
	s.adoptFor(a, g, s.settings.Self, begun)
}

// adoptFor takes over an entry's attempt.
func (s *Scheduler) adoptFor(a PlacementRequest, g Grant, entry string, begun bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(a.Service)
	if at, ok := p.placed[a.ID]; ok {
		at.orphan = 0
		return
	}
	now := s.settings.Now()
	if !a.Retry {
		p.retry.first(now)
	}
	w := s.waiter(p, a, now)
	p.returning.claim(w, now)
	e := p.engines[g.Instance]
	if e == nil || p.outlived(&g) {
		return
	}
	at := &placed{
		instance: g.Instance,
		born:     g.StartedAt,
		at:       now,
		first:    g.FirstEventIn,
		begun:    begun,
		work:     w.work(),
		entry:    entry,
		watched:  a.watched(),
	}
	if !begun {
		p.cold.give(g.Instance, now)
	}
	if p.plain {
		p.countAssignment(at, now)
		addPlain(e, a.ID)
		p.placed[a.ID] = at
		return
	}
	plan := p.planFromGrant(&a, &g, e)
	for _, o := range plan.Others {
		at.readers = append(at.readers, o.Engine.Instance)
	}
	p.countAssignment(at, now)
	plan.Apply(w.request, now)
	p.placed[a.ID] = at
	if begun {
		p.begin(a.ID, at, now)
	}
}

// planFromGrant returns the plan that a grant was made from, as far as its endpoints are
// known.
func (p *state) planFromGrant(a *PlacementRequest, g *Grant, e *placement.Engine) placement.Plan {
	plan := placement.Plan{
		Engine: e,
		Read:   e.Model.Read(a.Prompt, len(g.Shares)+1),
		Hold:   a.Prompt + a.Output,
	}
	for _, r := range g.Shares {
		o := p.engines[r.Instance]
		if o == nil {
			continue
		}
		plan.Hold -= r.Reserved
		plan.Others = append(plan.Others, placement.Share{
			Engine: o,
			Hold:   r.Reserved,
		})
	}
	return plan
}

// markOrphans marks attempts whose entry is out of touch, and returns the mark.
func (s *Scheduler) markOrphans(attempts map[string]string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.marks++
	now := s.settings.Now()
	for id, service := range attempts {
		if at := s.pool(service).placed[id]; at != nil {
			at.orphan, at.cutAt = s.marks, now
		}
	}
	return s.marks
}

// endOrphans ends the attempts that still have a mark.
func (s *Scheduler) endOrphans(attempts map[string]string, mark int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, service := range attempts {
		p := s.pool(service)
		if at := p.placed[id]; at != nil && at.orphan == mark {
			p.returning.note(at, at.cutAt)
			p.end(id)
		}
	}
}
