// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package emulator

import (
	"slices"
	"time"

	"github.com/linkmast/linkmast/batch"
)

// job is a request, or one share of its joint prefill, on one engine.
type job struct {
	attempt *attempt
	// isShare is true if the job only prefills a share and another engine decodes the
	// answer.
	isShare bool
	// joint is true if several engines prefill the prompt.
	joint bool
	// tokensLeft is the number of tokens to prefill, of which the current pass prefills
	// passTokens.
	tokensLeft int
	passTokens int
	perToken   time.Duration
	// memory is the number of tokens whose memory the job occupies. context is the number of
	// tokens that it adds to the context of decode steps after its prefill.
	memory  int
	context int
	// eventsLeft is the number of events to send. The first one is sent when the prefill ends.
	eventsLeft int
	// decodesInPass is true if the job decodes in the current pass.
	decodesInPass bool
	// decoding is true after the first event.
	decoding bool
}

// engine is an emulated engine.
type engine struct {
	clock *clock
	model *batch.Model
	// slowdown multiplies the time of each pass. With zero, the engine starts no passes.
	slowdown float64
	// slowdownChanges holds all changes of slowdown, in the order of their times.
	slowdownChanges []slowdownChange
	jobs            []*job
	// waiting is the queue of requests that have no slot and memory yet.
	waiting []*job
	// inPass is true while a pass runs.
	inPass bool
}

// add adds a job. A share of another engine's request is admitted at once; a request is
// queued.
func (e *engine) add(j *job) {
	if j.isShare {
		e.jobs = append(e.jobs, j)
	} else {
		e.waiting = append(e.waiting, j)
	}
	e.admit()
	e.startPass()
}

// admit starts queued requests in order while slots and memory are free.
func (e *engine) admit() {
	for len(e.waiting) > 0 {
		j := e.waiting[0]
		slots, free := e.model.Slots, e.model.Capacity
		for _, o := range e.jobs {
			free -= o.memory
			if !o.isShare {
				slots--
			}
		}
		if slots <= 0 || free < j.memory {
			return
		}
		e.waiting = e.waiting[1:]
		e.jobs = append(e.jobs, j)
	}
}

// remove removes all jobs of an attempt.
func (e *engine) remove(a *attempt) {
	matches := func(j *job) bool { return j.attempt == a }
	e.jobs = slices.DeleteFunc(e.jobs, matches)
	e.waiting = slices.DeleteFunc(e.waiting, matches)
	e.admit()
	e.startPass()
}

// startPass starts a pass if none runs, the engine is not stopped and has work.
func (e *engine) startPass() {
	if e.inPass || e.slowdown == 0 {
		return
	}
	decoding, context := 0, 0
	for _, j := range e.jobs {
		j.decodesInPass = !j.isShare && j.decoding
		if j.decodesInPass {
			decoding++
		}
		if j.tokensLeft == 0 {
			context += j.context
		}
	}
	length := time.Duration(0)
	if decoding > 0 {
		length = e.model.PassTime(decoding, context)
	}
	budget := e.model.PrefillBudget(decoding)
	for _, j := range e.prefillOrder() {
		j.passTokens = min(j.tokensLeft, budget)
		budget -= j.passTokens
		length += time.Duration(j.passTokens) * j.perToken
	}
	if length == 0 {
		return
	}
	e.inPass = true
	e.clock.after(time.Duration(float64(length)*e.slowdown), e.finishPass)
}

// prefillOrder returns the jobs to prefill: first joint prefills, in the reverse order of their
// admission, and then other prompts in the order of their admission.
func (e *engine) prefillOrder() []*job {
	var out []*job
	for _, j := range slices.Backward(e.jobs) {
		if j.joint && j.tokensLeft > 0 {
			out = append(out, j)
		}
	}
	for _, j := range e.jobs {
		if !j.joint && j.tokensLeft > 0 {
			out = append(out, j)
		}
	}
	return out
}

// finishPass ends the current pass and starts the next one: decoding jobs send an event,
// prefills advance, and shares that are prefilled and occupy no memory are removed.
func (e *engine) finishPass() {
	for _, j := range slices.Clone(e.jobs) {
		switch {
		case j.decodesInPass:
			j.decodesInPass = false
			j.emitEvent()
		case j.passTokens > 0:
			j.tokensLeft -= j.passTokens
			j.passTokens = 0
			if j.tokensLeft == 0 {
				j.attempt.finishPrefill()
			}
		}
	}
	e.jobs = slices.DeleteFunc(e.jobs, func(j *job) bool {
		return j.isShare && j.tokensLeft == 0 && j.memory == 0
	})
	e.inPass = false
	e.startPass()
}

// emitEvent sends the job's next event.
func (j *job) emitEvent() {
	j.decoding = true
	j.eventsLeft--
	j.attempt.sendEvent(j.eventsLeft <= 0)
}

// setSlowdown sets the slowdown from the next pass on. A zero stops the engine after the
// current pass, and another value restarts a stopped engine.
func (e *engine) setSlowdown(slowdown float64) {
	e.slowdown = slowdown
	e.slowdownChanges = append(e.slowdownChanges, slowdownChange{
		at:       e.clock.now,
		slowdown: slowdown,
	})
	e.startPass()
}
