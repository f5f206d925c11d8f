// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import (
	"slices"
	"time"

	"github.com/linkmast/linkmast/batch"
)

// Phase is how far a job has come.
type Phase int

// The phases.
const (
	// Waiting jobs are read in the engine's next pass.
	Waiting Phase = iota
	// Reading jobs are read in the engine's present pass.
	Reading
	// Writing jobs get tokens in every pass.
	Writing
)

// Job is a request, or a part of its prompt, on one engine.
type Job struct {
	// ID names the attempt.
	ID string
	// Read is the time that reading takes here.
	Read time.Duration
	// Memory is what the job holds here, in tokens.
	Memory int
	// Context is what each step has to look at here, in tokens.
	Context int
	// Gap is the longest pause between events in time; zero means none counts.
	Gap time.Duration
	// Stake is what is lost when the request is late.
	Stake float64
	// TargetAt is when the first event would be late.
	TargetAt time.Time
	// Part states that the job only helps with another engine's request.
	Part bool
	// Phase is how far the job has come.
	Phase Phase

	// wroteAt is when the model let the job begin to write.
	wroteAt time.Time
}

// Engine is the modelled state of an engine.
type Engine struct {
	// Instance names the engine.
	Instance string
	// Address is its host and port.
	Address string
	// FailureDomain is where it runs.
	FailureDomain string
	// Model is its cost model.
	Model *batch.Model
	// Slots bounds the requests that run at once.
	Slots int
	// Closed engines get nothing new.
	Closed bool
	// Pace is how much longer passes take than the model says; zero means 1.
	Pace float64
	// Jobs are what the engine works on.
	Jobs []*Job

	// passEnd is when the present pass ends; zero when the engine rests.
	passEnd time.Time
}

// Advance lets the engine work until a moment.
func (e *Engine) Advance(now time.Time) {
	for !e.passEnd.IsZero() && !e.passEnd.After(now) {
		at := e.passEnd
		e.finishPass(at)
		e.startPass(at)
	}
	if e.passEnd.IsZero() {
		e.startPass(now)
	}
}

// finishPass ends the present pass: what was read writes from now on.
func (e *Engine) finishPass(at time.Time) {
	e.Jobs = slices.DeleteFunc(e.Jobs, func(j *Job) bool {
		return j.Part && j.Phase == Reading && j.Memory == 0
	})
	for _, j := range e.Jobs {
		if j.Phase == Reading {
			j.Phase = Writing
			j.wroteAt = at
		}
	}
	e.passEnd = time.Time{}
}

// startPass begins a pass if there is anything to do.
func (e *Engine) startPass(at time.Time) {
	if len(e.Jobs) == 0 {
		return
	}
	writers, context := e.writers()
	length := time.Duration(0)
	if writers > 0 {
		length = e.Model.Pass(writers, context)
	}
	for _, j := range e.Jobs {
		if j.Phase == Waiting {
			j.Phase = Reading
			length += j.Read
		}
	}
	if length == 0 {
		return
	}
	e.passEnd = at.Add(e.paced(length))
}

func (e *Engine) paced(d time.Duration) time.Duration {
	if e.Pace <= 0 {
		return d
	}
	return time.Duration(float64(d) * e.Pace)
}

// writers returns how many jobs write, and their context.
func (e *Engine) writers() (int, int) {
	n, context := 0, 0
	for _, j := range e.Jobs {
		if j.Phase != Writing {
			continue
		}
		context += j.Context
		if !j.Part {
			n++
		}
	}
	return n, context
}

// Running returns how many requests have a slot.
func (e *Engine) Running() int {
	n := 0
	for _, j := range e.Jobs {
		if !j.Part {
			n++
		}
	}
	return n
}

// Free returns the memory that no job holds, in tokens.
func (e *Engine) Free() int {
	free := e.Model.Capacity
	for _, j := range e.Jobs {
		free -= j.Memory
	}
	return free
}

// Add gives the engine a job at a moment.
func (e *Engine) Add(j *Job, now time.Time) {
	e.Advance(now)
	j.Phase = Waiting
	e.Jobs = append(e.Jobs, j)
	if e.passEnd.IsZero() {
		e.startPass(now)
	}
}

// Remove ends a job.
func (e *Engine) Remove(id string) {
	e.Jobs = slices.DeleteFunc(e.Jobs, func(j *Job) bool {
		return j.ID == id
	})
}

// Observe corrects the model by the first event of a job: a pass of the engine
// ended just now. It returns how much later that was than the model said.
func (e *Engine) Observe(id string, now time.Time) time.Duration {
	e.Advance(now)
	for _, j := range e.Jobs {
		if j.ID != id || j.Part {
			continue
		}
		if j.Phase == Writing {
			late := now.Sub(j.wroteAt)
			if !e.passEnd.IsZero() {
				e.passEnd = e.passEnd.Add(min(late, maxShift))
			}
			return late
		}
		early := e.passEnd.Sub(now)
		e.finishPass(now)
		j.Phase = Writing
		j.wroteAt = now
		e.startPass(now)
		return -early
	}
	return 0
}

// maxShift bounds how far one observation moves the model, so that a delay on
// the way of the event is not taken for one of the engine.
const maxShift = 100 * time.Millisecond

// FinishPart notes that a helping engine has read its part of a prompt.
func (e *Engine) FinishPart(id string, now time.Time) {
	e.Advance(now)
	e.Jobs = slices.DeleteFunc(e.Jobs, func(j *Job) bool {
		return j.ID == id && j.Part && j.Memory == 0
	})
}
