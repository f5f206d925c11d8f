// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import (
	"math"
	"slices"
	"time"

	"github.com/linkmast/linkmast/batch"
)

// Job is a request, or a part of its prompt, on one engine.
type Job struct {
	// ID names the attempt.
	ID string
	// PromptLeft are what is left to read here.
	PromptLeft int
	// PrefillPerToken is the time that reading one of them takes.
	PrefillPerToken time.Duration
	// Joint states that several engines read the prompt. Such parts go before
	// other prompts, the latest first.
	Joint bool
	// Helper states that the job only helps with another engine's request.
	Helper bool
	// Memory is what the job holds here, in tokens.
	Memory int
	// Context is what each step has to look at here, in tokens.
	Context int
	// Gap is the longest pause between events in time; zero means none counts.
	Gap time.Duration
	// Stake is what is lost when the request is late, and LateWorth what is lost beside
	// that when its caller goes.
	Stake     float64
	LateWorth float64
	// PlacedAt is when the request was placed.
	PlacedAt time.Time
	// TargetAt is when the first event would be late.
	TargetAt time.Time
	// FirstEventAt is when the first event is expected.
	FirstEventAt time.Time
	// ArrivesAt is when the engine gets the job; zero means that it has it.
	ArrivesAt time.Time

	// inPass are the tokens that the present pass reads.
	inPass int
	// prefilledAt is when the model let the job begin to write.
	prefilledAt time.Time
	// confirmed states that the first event has come.
	confirmed bool
}

// prefillTime returns the time of reading n tokens of the job.
func (j *Job) prefillTime(n int) time.Duration {
	return time.Duration(n) * j.PrefillPerToken
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
	// Full engines get no request now, but may help to read the prompts of others.
	Full bool
	// Slowdown is how many times as long as by its model the engine takes for all work; zero
	// counts as 1. SetSlowdown changes it while the engine works.
	Slowdown float64
	// Jobs are what the engine works on, in the order in which they came.
	Jobs []*Job

	// passEnd is when the present pass ends; zero when the engine rests.
	passEnd time.Time
	// passStart is when it began.
	passStart time.Time
}

// stepsPerIdlePass is how many steps without writers are taken for one pass of the
// model, so that it need not follow each of them.
const stepsPerIdlePass = 4

// Advance lets the engine work until a moment.
func (e *Engine) Advance(now time.Time) {
	for {
		at := e.passEnd
		if at.IsZero() {
			at = e.nextStart(now)
		}
		if at.After(now) {
			return
		}
		e.finishPass(at)
		e.startPass(at)
		if e.passEnd.IsZero() && !e.nextStart(now).After(at) {
			// There is nothing to do.
			return
		}
	}
}

// nextStart returns when an engine that rests starts to work: when the first prompt
// reaches it, or now.
func (e *Engine) nextStart(now time.Time) time.Time {
	var first *Job
	for _, j := range e.Jobs {
		if j.PromptLeft > 0 && (first == nil || j.ArrivesAt.Before(first.ArrivesAt)) {
			first = j
		}
	}
	if first == nil || first.ArrivesAt.IsZero() {
		return now
	}
	return first.ArrivesAt
}

// finishPass ends the present pass: what has been read writes from now on.
func (e *Engine) finishPass(at time.Time) {
	e.passEnd = time.Time{}
	for _, j := range e.Jobs {
		if j.inPass == 0 {
			continue
		}
		j.PromptLeft -= j.inPass
		j.inPass = 0
		if j.PromptLeft == 0 {
			j.prefilledAt = at
		}
	}
}

// confirmTimeout is how long after the model's end of a joint part the engine counts as
// reading it while the first event has not come. A new part would go before what is left
// of it: one that came 6 ms too early put the end of another off by 3.4 s.
const confirmTimeout = 100 * time.Millisecond

// isPrefilled states whether the job's prompt, or its part of it, has been read for certain.
func (j *Job) isPrefilled(now time.Time) bool {
	return j.PromptLeft == 0 && (j.confirmed || j.prefilledAt.IsZero() || now.Sub(j.prefilledAt) > confirmTimeout)
}

// startPass begins a pass if there is anything to do.
func (e *Engine) startPass(at time.Time) {
	if len(e.Jobs) == 0 {
		return
	}
	writers, context := e.decoding()
	length := time.Duration(0)
	budget := e.prefillBudget(writers)
	if writers > 0 {
		length = e.Model.PassTime(writers, context)
	}
	for _, j := range e.prefillOrder(at) {
		j.inPass = min(j.PromptLeft, budget)
		budget -= j.inPass
		length += j.prefillTime(j.inPass)
	}
	if length > 0 {
		e.passStart = at
		e.passEnd = at.Add(e.scaled(length))
	}
}

// prefillOrder returns what is to be read in a pass that starts at a moment: joint parts
// first, the latest before the others, then the prompts in the order in which they came.
func (e *Engine) prefillOrder(at time.Time) []*Job {
	out := make([]*Job, 0, len(e.Jobs))
	for _, j := range slices.Backward(e.Jobs) {
		if j.Joint && j.PromptLeft > 0 && !j.ArrivesAt.After(at) {
			out = append(out, j)
		}
	}
	for _, j := range e.Jobs {
		if !j.Joint && j.PromptLeft > 0 && !j.ArrivesAt.After(at) {
			out = append(out, j)
		}
	}
	return out
}

// prefillBudget returns how many tokens a pass of the model reads.
func (e *Engine) prefillBudget(writers int) int {
	b := e.Model.PrefillBudget(writers)
	if writers > 0 || b > math.MaxInt/stepsPerIdlePass {
		// Without a bound there is nothing to multiply.
		return b
	}
	return b * stepsPerIdlePass
}

// decoding returns how many jobs write, and the context of a step.
func (e *Engine) decoding() (int, int) {
	n, context := 0, 0
	for _, j := range e.Jobs {
		if j.PromptLeft > 0 {
			continue
		}
		context += j.Context
		if !j.Helper {
			n++
		}
	}
	return n, context
}

// Running returns how many requests have a slot.
func (e *Engine) Running() int {
	n := 0
	for _, j := range e.Jobs {
		if !j.Helper {
			n++
		}
	}
	return n
}

// PendingPrefill returns the time that the engine needs to read what it has before it.
func (e *Engine) PendingPrefill() time.Duration {
	d := time.Duration(0)
	for _, j := range e.Jobs {
		d += j.prefillTime(j.PromptLeft)
	}
	return e.scaled(d)
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
	e.Jobs = append(e.Jobs, j)
	e.Advance(now)
}

// Remove ends a job.
func (e *Engine) Remove(id string) {
	e.Jobs = slices.DeleteFunc(e.Jobs, func(j *Job) bool {
		return j.ID == id
	})
}
