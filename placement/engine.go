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
	// Tokens are what is left to read here.
	Tokens int
	// PerToken is the time that reading one of them takes.
	PerToken time.Duration
	// Joint states that several engines read the prompt. Such parts go before
	// other prompts, the latest first.
	Joint bool
	// Part states that the job only helps with another engine's request.
	Part bool
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
	// AskedAt is when the request was placed.
	AskedAt time.Time
	// TargetAt is when the first event would be late.
	TargetAt time.Time
	// FirstAt is when the first event is expected.
	FirstAt time.Time
	// ReachesAt is when the engine gets the job; zero means that it has it.
	ReachesAt time.Time

	// inPass are the tokens that the present pass reads.
	inPass int
	// wroteAt is when the model let the job begin to write.
	wroteAt time.Time
	// confirmed states that the first event has come.
	confirmed bool
}

// read returns the time of reading n tokens of the job.
func (j *Job) read(n int) time.Duration {
	return time.Duration(n) * j.PerToken
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
	// Pace is how many times as long as by its model the engine takes for all work; zero
	// counts as 1. SetPace changes it while the engine works.
	Pace float64
	// Jobs are what the engine works on, in the order in which they came.
	Jobs []*Job

	// passEnd is when the present pass ends; zero when the engine rests.
	passEnd time.Time
	// passBegan is when it began.
	passBegan time.Time
}

// idleSteps is how many steps without writers are taken for one pass of the
// model, so that it need not follow each of them.
const idleSteps = 4

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
		if j.Tokens > 0 && (first == nil || j.ReachesAt.Before(first.ReachesAt)) {
			first = j
		}
	}
	if first == nil || first.ReachesAt.IsZero() {
		return now
	}
	return first.ReachesAt
}

// finishPass ends the present pass: what has been read writes from now on.
func (e *Engine) finishPass(at time.Time) {
	e.passEnd = time.Time{}
	for _, j := range e.Jobs {
		if j.inPass == 0 {
			continue
		}
		j.Tokens -= j.inPass
		j.inPass = 0
		if j.Tokens == 0 {
			j.wroteAt = at
		}
	}
}

// confirmWithin is how long after the model's end of a joint part the engine counts as
// reading it while the first event has not come. A new part would go before what is left
// of it: one that came 6 ms too early put the end of another off by 3.4 s.
const confirmWithin = 100 * time.Millisecond

// isRead states whether the job's prompt, or its part of it, has been read for certain.
func (j *Job) isRead(now time.Time) bool {
	return j.Tokens == 0 && (j.confirmed || j.wroteAt.IsZero() || now.Sub(j.wroteAt) > confirmWithin)
}

// startPass begins a pass if there is anything to do.
func (e *Engine) startPass(at time.Time) {
	if len(e.Jobs) == 0 {
		return
	}
	writers, context := e.writers()
	length := time.Duration(0)
	budget := e.budget(writers)
	if writers > 0 {
		length = e.Model.Pass(writers, context)
	}
	for _, j := range e.readingOrder(at) {
		j.inPass = min(j.Tokens, budget)
		budget -= j.inPass
		length += j.read(j.inPass)
	}
	if length > 0 {
		e.passBegan = at
		e.passEnd = at.Add(e.paced(length))
	}
}

// readingOrder returns what is to be read in a pass that starts at a moment: joint parts
// first, the latest before the others, then the prompts in the order in which they came.
func (e *Engine) readingOrder(at time.Time) []*Job {
	out := make([]*Job, 0, len(e.Jobs))
	for _, j := range slices.Backward(e.Jobs) {
		if j.Joint && j.Tokens > 0 && !j.ReachesAt.After(at) {
			out = append(out, j)
		}
	}
	for _, j := range e.Jobs {
		if !j.Joint && j.Tokens > 0 && !j.ReachesAt.After(at) {
			out = append(out, j)
		}
	}
	return out
}

// budget returns how many tokens a pass of the model reads.
func (e *Engine) budget(writers int) int {
	b := e.Model.Budget(writers)
	if writers > 0 || b > math.MaxInt/idleSteps {
		// Without a bound there is nothing to multiply.
		return b
	}
	return b * idleSteps
}

// writers returns how many jobs write, and the context of a step.
func (e *Engine) writers() (int, int) {
	n, context := 0, 0
	for _, j := range e.Jobs {
		if j.Tokens > 0 {
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

// Unread returns the time that the engine needs to read what it has before it.
func (e *Engine) Unread() time.Duration {
	d := time.Duration(0)
	for _, j := range e.Jobs {
		d += j.read(j.Tokens)
	}
	return e.paced(d)
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
