// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import (
	"slices"
	"time"
)

// maxShift bounds the correction of the model by one late event, because the delay may have
// occurred on the way from the engine.
const maxShift = 100 * time.Millisecond

// Observe corrects the model when the first event of a job arrives, which shows that a pass of
// the engine has just ended. It returns how much later than predicted the event came: a negative
// time for an early event, and zero for an unknown job.
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

// FinishShare records that a helper has completed its share of a prompt. A share that holds no
// memory is removed.
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

// NextEvent returns the predicted time until the next event of a job that has been silent for
// the given time. The boolean reports whether the model explains the silence: the prompt is
// still being prefilled, or the current pass began no later than the silence.
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
