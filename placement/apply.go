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

// hold spreads the memory over the plan's engines. It returns false when they
// have too little.
func (p *Plan) hold(need int) bool {
	room := p.Engine.room()
	if room >= need {
		p.Hold = need
		return true
	}
	if len(p.Others) == 0 {
		return false
	}
	p.Hold = room
	left := need - room
	slices.SortFunc(p.Others, func(a, b Share) int {
		return cmp.Compare(b.Engine.room(), a.Engine.room())
	})
	for i := range p.Others {
		if left <= 0 {
			break
		}
		n := min(max(p.Others[i].Engine.room(), 0), left)
		p.Others[i].Hold = n
		left -= n
	}
	return left <= 0
}

// room returns the memory that a plan may use.
func (e *Engine) room() int {
	return e.Free() - int(memoryReserve*float64(e.Model.Capacity))
}

// Apply gives a plan's jobs to its engines.
func (p *Plan) Apply(r Request, now time.Time) {
	n := len(p.Others) + 1
	job := Job{
		ID:        r.ID,
		Tokens:    max(r.Prompt/n, 1),
		Joint:     n > 1,
		Memory:    p.Hold,
		Context:   r.Prompt / n,
		Gap:       r.Gap,
		Stake:     r.stake(),
		LateWorth: r.LateWorth,
		AskedAt:   now,
		TargetAt:  r.TargetAt,
		FirstAt:   now.Add(p.First),
	}
	if r.Travel > 0 {
		job.ReachesAt = now.Add(r.Travel)
	}
	job.PerToken = p.Read / time.Duration(job.Tokens)
	delay := time.Duration(0)
	if job.Joint {
		delay = p.Read
	}
	p.Engine.give(job, delay, now)
	for _, o := range p.Others {
		helper := job
		helper.Part = true
		helper.Memory = o.Hold
		helper.Context = o.Hold
		o.Engine.give(helper, delay, now)
	}
}

// give adds a job that delays the reads that wait.
func (e *Engine) give(j Job, delay time.Duration, now time.Time) {
	e.Advance(now)
	e.putOff(e.paced(delay))
	e.Add(&j, now)
}

// putOff notes that the reads that wait on the engine are delayed.
func (e *Engine) putOff(delay time.Duration) {
	for _, j := range e.Jobs {
		if j.Tokens > j.inPass && !j.Part {
			j.FirstAt = j.FirstAt.Add(delay)
		}
	}
}
