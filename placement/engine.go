// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import (
	"math"
	"slices"
	"time"

	"github.com/linkmast/linkmast/batch"
)

// Job is a request, or a share of a joint prefill, on one engine.
type Job struct {
	// ID identifies the attempt; all shares of a joint prefill have the same one.
	ID string
	// PromptLeft is the number of prompt tokens still to prefill on this engine.
	PromptLeft int
	// PrefillPerToken is the prefill time of one token, without the engine's slowdown.
	PrefillPerToken time.Duration
	// Joint states that several engines prefill the prompt together. An engine prefills joint
	// shares before other prompts, the last added first.
	Joint bool
	// Helper states that the job only holds a share of a request that runs on another engine.
	Helper bool
	// Memory is the memory that the job occupies on this engine, in tokens.
	Memory int
	// Context is the number of tokens on this engine that each decode step attends to.
	Context int
	// Gap is the longest allowed pause between events; zero means no limit.
	Gap time.Duration
	// Stake is the worth lost when the request is late. LateWorth is lost in addition when its
	// caller gives up.
	Stake     float64
	LateWorth float64
	// PlacedAt is when the request was placed.
	PlacedAt time.Time
	// TargetAt is the latest time at which the first event is on time.
	TargetAt time.Time
	// FirstEventAt is when the first event is expected.
	FirstEventAt time.Time
	// ArrivesAt is when the job reaches the engine; zero means that it is there already.
	ArrivesAt time.Time

	// inPass is the number of prompt tokens that the current pass prefills.
	inPass int
	// prefilledAt is when the modelled prefill ended; zero before, and for a job added without
	// a prompt.
	prefilledAt time.Time
	// confirmed states that the first event was observed, or that a helper finished its share.
	confirmed bool
}

// prefillTime returns the time to prefill n tokens of the job.
func (j *Job) prefillTime(n int) time.Duration {
	return time.Duration(n) * j.PrefillPerToken
}

// Engine is the modelled state of an engine.
type Engine struct {
	// Instance identifies the endpoint that runs the engine.
	Instance string
	// Address is the engine's host and port.
	Address string
	// FailureDomain is the failure domain of the endpoint.
	FailureDomain string
	// Model predicts the engine's times.
	Model *batch.Model
	// Slots is the maximum number of requests that run at once.
	Slots int
	// Closed engines are not used by new plans.
	Closed bool
	// Full engines accept no requests for now, but may help with the prefill of others.
	Full bool
	// Slowdown is the ratio of the engine's actual time for any work to the time its model
	// predicts; zero counts as 1. Use SetSlowdown to change it while the engine works.
	Slowdown float64
	// Jobs are in order of arrival.
	Jobs []*Job

	// passEnd is when the current pass ends; zero while the engine is idle.
	passEnd time.Time
	// passStart is when the latest pass began.
	passStart time.Time
}

// stepsPerIdlePass is the number of steps that are modelled as one pass while no request is
// decoding. It keeps the simulation short.
const stepsPerIdlePass = 4

// Advance simulates the engine up to now.
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
			// The engine has no work left.
			return
		}
	}
}

// nextStart returns when an idle engine starts its next pass: when the first prompt to prefill
// arrives, or now if there is none or no arrival time is set.
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

// finishPass ends the current pass. Jobs whose prompt is complete decode from the next pass on.
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

// confirmTimeout is how long an engine still counts as prefilling a joint share after the modelled
// end, unless the first event has come. A new joint share would run before the unfinished rest and
// could delay it by seconds.
const confirmTimeout = 100 * time.Millisecond

// isPrefilled reports whether the job's prompt or share counts as complete.
func (j *Job) isPrefilled(now time.Time) bool {
	return j.PromptLeft == 0 && (j.confirmed || j.prefilledAt.IsZero() || now.Sub(j.prefilledAt) > confirmTimeout)
}

// startPass begins a pass if there is work to do.
func (e *Engine) startPass(at time.Time) {
	if len(e.Jobs) == 0 {
		return
	}
	decoding, context := e.decoding()
	length := time.Duration(0)
	budget := e.prefillBudget(decoding)
	if decoding > 0 {
		length = e.Model.PassTime(decoding, context)
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

// prefillOrder returns the jobs to prefill in a pass that starts at the given time: joint
// shares, the latest first, then whole prompts in order of arrival.
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

// prefillBudget returns the maximum number of prompt tokens in one pass of the model.
func (e *Engine) prefillBudget(decoding int) int {
	b := e.Model.PrefillBudget(decoding)
	if decoding > 0 || b > math.MaxInt/stepsPerIdlePass {
		// An unbounded budget must not overflow.
		return b
	}
	return b * stepsPerIdlePass
}

// decoding returns the number of decoding requests and the context tokens of one step.
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

// Running returns the number of occupied slots.
func (e *Engine) Running() int {
	n := 0
	for _, j := range e.Jobs {
		if !j.Helper {
			n++
		}
	}
	return n
}

// PendingPrefill returns the time that the engine needs to prefill all remaining prompt tokens.
func (e *Engine) PendingPrefill() time.Duration {
	d := time.Duration(0)
	for _, j := range e.Jobs {
		d += j.prefillTime(j.PromptLeft)
	}
	return e.scaled(d)
}

// Free returns the unoccupied memory in tokens.
func (e *Engine) Free() int {
	free := e.Model.Capacity
	for _, j := range e.Jobs {
		free -= j.Memory
	}
	return free
}

// Add adds a job to the engine at the given time.
func (e *Engine) Add(j *Job, now time.Time) {
	e.Advance(now)
	e.Jobs = append(e.Jobs, j)
	e.Advance(now)
}

// Remove deletes all jobs with the given ID.
func (e *Engine) Remove(id string) {
	e.Jobs = slices.DeleteFunc(e.Jobs, func(j *Job) bool {
		return j.ID == id
	})
}
