// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package emulator

import (
	"slices"
	"time"

	"github.com/linkmast/linkmast/batch"
)

// job is a request, or a part of its prompt, on one engine.
type job struct {
	attempt *attempt
	// isShare states that the job only helps with another engine's request.
	isShare bool
	// joint states that several engines read the prompt.
	joint bool
	// tokensLeft are left to read, of which inPass are read in the present pass.
	tokensLeft int
	passTokens int
	perToken   time.Duration
	// memory and context are what the job holds and what a step looks at, in tokens.
	memory  int
	context int
	// eventsLeft are left to write; the first one ends the reading.
	eventsLeft int
	// decodesInPass states that the job decodesInPass in the present pass.
	decodesInPass bool
	// decoding states that the first event is out.
	decoding bool
}

// engine is an emulated engine.
type engine struct {
	clock *clock
	model *batch.Model
	// slowdown multiplies the time of all work; zero stops it.
	slowdown float64
	// slowdownChanges are what slow was set to, and when.
	slowdownChanges []slowdownChange
	jobs            []*job
	// waiting are requests without a slot or memory, in order.
	waiting []*job
	// inPass states that a pass is under way.
	inPass bool
}

// add gives the engine a job.
func (e *engine) add(j *job) {
	if j.isShare {
		e.jobs = append(e.jobs, j)
	} else {
		e.waiting = append(e.waiting, j)
	}
	e.admit()
	e.startPass()
}

// admit lets requests in while there are slots and memory.
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

// remove ends all that an attempt has on the engine.
func (e *engine) remove(a *attempt) {
	of := func(j *job) bool { return j.attempt == a }
	e.jobs = slices.DeleteFunc(e.jobs, of)
	e.waiting = slices.DeleteFunc(e.waiting, of)
	e.admit()
	e.startPass()
}

// startPass begins a pass if the engine rests and has work.
func (e *engine) startPass() {
	if e.inPass || e.slowdown == 0 {
		return
	}
	writers, context := 0, 0
	for _, j := range e.jobs {
		j.decodesInPass = !j.isShare && j.decoding
		if j.decodesInPass {
			writers++
		}
		if j.tokensLeft == 0 {
			context += j.context
		}
	}
	length := time.Duration(0)
	if writers > 0 {
		length = e.model.PassTime(writers, context)
	}
	budget := e.model.PrefillBudget(writers)
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

// prefillOrder returns what is to be read: joint parts first, the latest before the others.
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

// finishPass ends the present pass.
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

// emitEvent lets a job write one emitEvent.
func (j *job) emitEvent() {
	j.decoding = true
	j.eventsLeft--
	j.attempt.sendEvent(j.eventsLeft <= 0)
}

// setSlowdown changes the pace from the next pass on. An engine that stood still begins anew.
func (e *engine) setSlowdown(slow float64) {
	e.slowdown = slow
	e.slowdownChanges = append(e.slowdownChanges, slowdownChange{
		at:       e.clock.now,
		slowdown: slow,
	})
	e.startPass()
}
