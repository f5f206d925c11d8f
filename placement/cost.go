// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import (
	"time"
)

// Cost returns the plan's cost in units of worth, without the cost of its helpers.
func (p *Plan) Cost() float64 {
	return othersLossWeight*p.OthersLoss + p.OwnLoss + p.DecodeCost
}

// othersLossWeight is the weight of losses of other requests relative to those of the request
// itself. It exceeds 1 to account for requests unknown to the plan that arrive while the prefill
// stalls the engine.
const othersLossWeight = 2

// A prediction counts as possibly late from the fraction lateFrom of its limit on, and as
// certainly late from lateTo on.
const (
	lateFrom = 0.85
	lateTo   = 1.05
)

// lateness estimates the probability, from 0 to 1, that an event predicted to take d takes longer
// than bound.
func lateness(d, bound time.Duration) float64 {
	if bound <= 0 {
		return 1
	}
	r := float64(d) / float64(bound)
	return min(max((r-lateFrom)/(lateTo-lateFrom), 0), 1)
}

// helperCost is the cost of each helper in a plan: one more engine that may fail, and that is
// kept from other requests.
const helperCost = 0.01

// helpersCost returns the cost of all the plan's helpers.
func (p *Plan) helpersCost() float64 {
	return helperCost * float64(len(p.Others))
}

// ownLoss returns the worth that the request loses if its first event is predicted to come the
// given time after now.
func (r *Request) ownLoss(first time.Duration, now time.Time) float64 {
	if !r.GiveUpAt.IsZero() && now.Add(first).After(r.GiveUpAt) {
		return r.Worth
	}
	return r.stake() * lateness(first, r.TargetAt.Sub(now))
}

// pauseLoss returns the worth that the request loses if the longest pause in its stream is
// predicted to take the given time.
func (r *Request) pauseLoss(longest time.Duration) float64 {
	if r.Gap == 0 {
		return 0
	}
	return r.stake() * lateness(longest, r.Gap)
}

// addedLoss returns the additional worth that a job loses when the duration of the next pass
// grows from before to after and waiting prefills are postponed by delay.
func (j *Job) addedLoss(before, after, delay time.Duration) float64 {
	if j.Helper || j.Stake == 0 {
		return 0
	}
	if j.PromptLeft > j.inPass {
		if delay == 0 {
			return 0
		}
		bound := j.TargetAt.Sub(j.PlacedAt)
		due := j.FirstEventAt.Sub(j.PlacedAt)
		return j.Stake * (lateness(due+delay, bound) - lateness(due, bound))
	}
	if j.Gap == 0 {
		return 0
	}
	return j.pauseLoss(after) - j.pauseLoss(before)
}

// pauseLoss returns the worth that a stream loses by a pause: its stake when the pause is too
// long, and all its worth when the caller gives up.
func (j *Job) pauseLoss(pause time.Duration) float64 {
	if pause >= Patience(0, j.Gap) {
		return j.Stake + j.LateWorth
	}
	return j.Stake * lateness(pause, j.Gap)
}
