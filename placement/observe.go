// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import (
	"slices"
	"time"
)

// maxShift bounds how far one observation moves the model, so that a delay on
// the way of the event is not taken for one of the engine.
const maxShift = 100 * time.Millisecond

// Observe corrects the model by the first event of a job: a pass of the engine
// ended just now. It returns how much later that was than the model said.
func (e *Engine) Observe(id string, now time.Time) time.Duration {
	e.Advance(now)
	for _, j := range e.Jobs {
		if j.ID != id || j.Helper {
			continue
		}
		j.confirmed = true
		if j.PromptLeft == 0 {
			late := now.Sub(j.prefilledAt)
			if !e.passEnd.IsZero() {
				e.passEnd = e.passEnd.Add(min(late, maxShift))
			}
			return late
		}
		early := time.Duration(0)
		if !e.passEnd.IsZero() {
			early = e.passEnd.Sub(now)
		}
		j.inPass = j.PromptLeft
		e.finishPass(now)
		e.startPass(now)
		return -early
	}
	return 0
}

// FinishShare notes that a helping engine has read its part of a prompt.
func (e *Engine) FinishShare(id string, now time.Time) {
	e.Advance(now)
	e.Jobs = slices.DeleteFunc(e.Jobs, func(j *Job) bool {
		if j.ID != id || !j.Helper {
			return false
		}
		j.PromptLeft, j.inPass = 0, 0
		j.confirmed = true
		return j.Memory == 0
	})
}

// NextEvent returns when a job that has been silent for a while gives a sign, and whether
// the engine is known to have a reason for the silence: it still reads the job's prompt,
// or is in a pass that began no later than the silence did.
func (e *Engine) NextEvent(id string, silence time.Duration, now time.Time) (time.Duration, bool) {
	e.Advance(now)
	for i, j := range e.Jobs {
		switch {
		case j.ID != id:
		case j.PromptLeft > 0:
			var f simulation
			return f.run(e, nil, now)[i].firstEvent, true
		case e.passEnd.IsZero() || j.Helper:
			return 0, false
		default:
			return e.passEnd.Sub(now), now.Sub(e.passStart) >= silence
		}
	}
	return 0, false
}
