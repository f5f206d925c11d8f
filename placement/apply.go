// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import (
	"cmp"
	"slices"
	"time"
)

// memoryReserve is the fraction of an engine's memory that plans leave free for answers that
// turn out longer than expected.
const memoryReserve = 0.04

// allocateMemory distributes need tokens of memory over the plan's engines: Engine takes all of
// it if it can, else as much as it has, and the helpers with the most free memory take the rest.
// It returns false when the engines together have too little.
func (p *Plan) allocateMemory(need int) bool {
	usable := p.Engine.usableMemory()
	if usable >= need {
		p.Memory = need
		return true
	}
	if len(p.Others) == 0 {
		return false
	}
	p.Memory = usable
	left := need - usable
	slices.SortFunc(p.Others, func(a, b Share) int {
		return cmp.Compare(b.Engine.usableMemory(), a.Engine.usableMemory())
	})
	for i := range p.Others {
		if left <= 0 {
			break
		}
		n := min(max(p.Others[i].Engine.usableMemory(), 0), left)
		p.Others[i].Memory = n
		left -= n
	}
	return left <= 0
}

// usableMemory returns the free memory that a plan may use, in tokens.
func (e *Engine) usableMemory() int {
	return e.Free() - int(memoryReserve*float64(e.Model.Capacity))
}

// Apply adds the plan's jobs to the modelled state of its engines.
func (p *Plan) Apply(r Request, now time.Time) {
	n := len(p.Others) + 1
	job := Job{
		ID:           r.ID,
		PromptLeft:   max(r.Prompt/n, 1),
		Joint:        n > 1,
		Memory:       p.Memory,
		Context:      r.Prompt / n,
		Gap:          r.Gap,
		Stake:        r.stake(),
		LateWorth:    r.LateWorth,
		PlacedAt:     now,
		TargetAt:     r.TargetAt,
		FirstEventAt: now.Add(p.TimeToFirstEvent),
	}
	if r.TransitTime > 0 {
		job.ArrivesAt = now.Add(r.TransitTime)
	}
	job.PrefillPerToken = p.PrefillTime / time.Duration(job.PromptLeft)
	delay := time.Duration(0)
	if job.Joint {
		delay = p.PrefillTime
	}
	p.Engine.assign(job, delay, now)
	for _, o := range p.Others {
		helper := job
		helper.Helper = true
		helper.Memory = o.Memory
		helper.Context = o.Memory
		o.Engine.assign(helper, delay, now)
	}
}

// assign advances the engine to now, postpones the expected first events of its waiting prompts
// by delay, scaled by the engine's slowdown, and adds the job.
func (e *Engine) assign(j Job, delay time.Duration, now time.Time) {
	e.Advance(now)
	e.delayPrefills(e.scaled(delay))
	e.Add(&j, now)
}

// delayPrefills postpones the expected first events of the requests whose prompt the current pass
// does not complete. Helpers' shares are unchanged.
func (e *Engine) delayPrefills(delay time.Duration) {
	for _, j := range e.Jobs {
		if j.PromptLeft > j.inPass && !j.Helper {
			j.FirstEventAt = j.FirstEventAt.Add(delay)
		}
	}
}
