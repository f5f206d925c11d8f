// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/placement"
	"github.com/linkmast/linkmast/route"
)

// upsert takes over the entry of an endpoint.
func (p *state) upsert(c catalog.Endpoint, svc *route.Service) {
	e, ok := p.engines[c.Instance]
	if !ok {
		e = &placement.Engine{
			Instance: c.Instance,
		}
		p.engines[c.Instance] = e
		p.health[c.Instance] = &health{}
		p.list = append(p.list, e)
		slices.SortFunc(p.list, func(a, b *placement.Engine) int {
			return cmp.Compare(a.Instance, b.Instance)
		})
	}
	e.Address = c.Address
	e.FailureDomain = c.FailureDomain
	e.Slots = max(c.Slots, 1)
	e.Closed = c.Leaving
	e.Model = svc.Engine
	if e.Model == nil {
		p.plain = true
		e.Model = &batch.Model{}
	}
}

// prune forgets endpoints that are gone, once nothing runs there.
func (p *state) prune(service string, snap *catalog.Snapshot) {
	p.list = slices.DeleteFunc(p.list, func(e *placement.Engine) bool {
		c, known := snap.Endpoints[e.Instance]
		if known && c.Service == service {
			return false
		}
		e.Closed = true
		if len(e.Jobs) > 0 {
			return false
		}
		delete(p.engines, e.Instance)
		delete(p.health, e.Instance)
		return true
	})
}

// share sets the parts of the retry budget: half for the pool's owner, which may
// change, and half for all instances that place alone. Pools without engines are
// always placed by each instance alone.
func (p *state) share(whole Budget, instances int) {
	p.retry.budget = Budget{
		Ratio:  whole.Ratio * budgetShare,
		Extra:  whole.Extra * budgetShare / 2,
		Window: whole.Window,
	}
	p.alone.budget = p.retry.budget
	p.alone.budget.Extra /= float64(max(instances, 1))
	if p.plain {
		p.alone.budget.Extra *= 2
		p.retry.budget = p.alone.budget
	}
}

// budgetShare leaves a part of the budget for what is counted twice or not at
// all when owners change.
const budgetShare = 0.75

// named returns the endpoint with a name or an address.
func (p *state) named(name string) string {
	if _, ok := p.engines[name]; ok {
		return name
	}
	for _, e := range p.list {
		if e.Address == name && !e.Closed {
			return e.Instance
		}
	}
	return ""
}

// end forgets an attempt.
func (p *state) end(id string) {
	at, ok := p.placed[id]
	if !ok {
		return
	}
	delete(p.placed, id)
	for _, name := range append(at.readers, at.instance) {
		if e := p.engines[name]; e != nil {
			e.Remove(id)
		}
	}
}

// usable returns the endpoints that a request may be placed on. When all of them
// failed of late, it returns them all the same: the reports may be wrong.
func (p *state) usable(a *Ask, now time.Time) []*placement.Engine {
	out := make([]*placement.Engine, 0, len(p.list))
	var rest []*placement.Engine
	for _, e := range p.list {
		switch {
		case e.Closed || slices.Contains(a.Exclude, e.Instance):
		case slices.Contains(a.Avoid, e.Instance) || !p.health[e.Instance].all.usable(now):
			rest = append(rest, e)
		default:
			out = append(out, e)
		}
	}
	if len(out) == 0 {
		return rest
	}
	return out
}

// admit counts a request against the retry budget. It returns a refusal when
// the budget is spent.
func (p *state) admit(a Ask, alone bool, now time.Time) *Refusal {
	if !a.Again {
		p.retry.first(now)
		p.alone.first(now)
		return nil
	}
	spender := &p.retry
	if alone {
		spender = &p.alone
	}
	if spender.again(now) {
		return nil
	}
	return &Refusal{
		Reason: "retry budget is spent",
		After:  retryAfter,
	}
}

// retryAfter is when to come back when nothing better is known.
const retryAfter = 500 * time.Millisecond

// errorStats are how far predictions were off.
type errorStats struct {
	count int
	// within counts predictions that were off by a fifth or less.
	within int
}

// within is the relative error up to which a prediction counts as met.
const within = 0.2

func (s *errorStats) add(predicted, actual time.Duration) {
	s.count++
	off := (actual - predicted).Abs()
	if float64(off) <= within*float64(predicted) {
		s.within++
	}
}

// begin corrects the model by an attempt's first event.
func (p *state) begin(id string, at *placed, now time.Time) {
	if p.plain {
		return
	}
	if e := p.engines[at.instance]; e != nil {
		e.Observe(id, now)
	}
	for _, name := range at.readers {
		if e := p.engines[name]; e != nil {
			e.FinishPart(id, now)
		}
	}
}
