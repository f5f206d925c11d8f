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
	// part states that the job only helps with another engine's request.
	part bool
	// joint states that several engines read the prompt.
	joint bool
	// tokens are left to read, of which inPass are read in the present pass.
	tokens   int
	inPass   int
	perToken time.Duration
	// memory and context are what the job holds and what a step looks at, in tokens.
	memory  int
	context int
	// events are left to write; the first one ends the reading.
	events int
	// writes states that the job writes in the present pass.
	writes bool
	// begun states that the first event is out.
	begun bool
}

// engine is an emulated engine.
type engine struct {
	clock *clock
	model *batch.Model
	// slow multiplies the time of all work; zero stops it.
	slow float64
	// paces are what slow was set to, and when.
	paces []paceSince
	jobs  []*job
	// waiting are requests without a slot or memory, in order.
	waiting []*job
	// passing states that a pass is under way.
	passing bool
}

// add gives the engine a job.
func (e *engine) add(j *job) {
	if j.part {
		e.jobs = append(e.jobs, j)
	} else {
		e.waiting = append(e.waiting, j)
	}
	e.admit()
	e.start()
}

// admit lets requests in while there are slots and memory.
func (e *engine) admit() {
	for len(e.waiting) > 0 {
		j := e.waiting[0]
		slots, free := e.model.Slots, e.model.Capacity
		for _, o := range e.jobs {
			free -= o.memory
			if !o.part {
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
	e.start()
}

// start begins a pass if the engine rests and has work.
func (e *engine) start() {
	if e.passing || e.slow == 0 {
		return
	}
	writers, context := 0, 0
	for _, j := range e.jobs {
		j.writes = !j.part && j.begun
		if j.writes {
			writers++
		}
		if j.tokens == 0 {
			context += j.context
		}
	}
	length := time.Duration(0)
	if writers > 0 {
		length = e.model.PassTime(writers, context)
	}
	budget := e.model.PrefillBudget(writers)
	for _, j := range e.readingOrder() {
		j.inPass = min(j.tokens, budget)
		budget -= j.inPass
		length += time.Duration(j.inPass) * j.perToken
	}
	if length == 0 {
		return
	}
	e.passing = true
	e.clock.after(time.Duration(float64(length)*e.slow), e.finish)
}

// readingOrder returns what is to be read: joint parts first, the latest before the others.
func (e *engine) readingOrder() []*job {
	var out []*job
	for _, j := range slices.Backward(e.jobs) {
		if j.joint && j.tokens > 0 {
			out = append(out, j)
		}
	}
	for _, j := range e.jobs {
		if !j.joint && j.tokens > 0 {
			out = append(out, j)
		}
	}
	return out
}

// finish ends the present pass.
func (e *engine) finish() {
	for _, j := range slices.Clone(e.jobs) {
		switch {
		case j.writes:
			j.writes = false
			j.event()
		case j.inPass > 0:
			j.tokens -= j.inPass
			j.inPass = 0
			if j.tokens == 0 {
				j.attempt.read()
			}
		}
	}
	e.jobs = slices.DeleteFunc(e.jobs, func(j *job) bool {
		return j.part && j.tokens == 0 && j.memory == 0
	})
	e.passing = false
	e.start()
}

// event lets a job write one event.
func (j *job) event() {
	j.begun = true
	j.events--
	j.attempt.event(j.events <= 0)
}

// setSlow changes the pace from the next pass on. An engine that stood still begins anew.
func (e *engine) setSlow(slow float64) {
	e.slow = slow
	e.paces = append(e.paces, paceSince{
		at:   e.clock.now,
		slow: slow,
	})
	e.start()
}
