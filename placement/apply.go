// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import (
	"cmp"
	"slices"
	"time"
)

// memoryReserve is the part of an engine's memory that plans leave free, for
// answers that get longer than expected.
const memoryReserve = 0.04

// allocateMemory spreads the memory over the plan's engines. It returns false when they
// have too little.
func (p *Plan) allocateMemory(need int) bool {
	room := p.Engine.usableMemory()
	if room >= need {
		p.Memory = need
		return true
	}
	if len(p.Others) == 0 {
		return false
	}
	p.Memory = room
	left := need - room
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

// usableMemory returns the memory that a plan may use.
func (e *Engine) usableMemory() int {
	return e.Free() - int(memoryReserve*float64(e.Model.Capacity))
}

// Apply gives a plan's jobs to its engines.
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

// assign adds a job that delays the reads that wait.
func (e *Engine) assign(j Job, delay time.Duration, now time.Time) {
	e.Advance(now)
	e.delayPrefills(e.scaled(delay))
	e.Add(&j, now)
}

// delayPrefills notes that the reads that wait on the engine are delayed.
func (e *Engine) delayPrefills(delay time.Duration) {
	for _, j := range e.Jobs {
		if j.PromptLeft > j.inPass && !j.Helper {
			j.FirstEventAt = j.FirstEventAt.Add(delay)
		}
	}
}
