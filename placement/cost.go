// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import (
	"time"
)

// Cost returns what the plan costs in all but for its number of engines, in units
// of worth.
func (p *Plan) Cost() float64 {
	return othersLossWeight*p.OthersLoss + p.OwnLoss + p.DecodeCost
}

// othersLossWeight is what a loss of others weighs against one of the request
// itself. Above 1 it stands for what comes in while engines stand still, which a
// plan does not see.
const othersLossWeight = 2

// The part of a bound at which a prediction begins to count as late, and that
// at which it surely is.
const (
	lateFrom = 0.85
	lateTo   = 1.05
)

// lateness returns how likely something that is predicted to take d is late, from
// 0 to 1.
func lateness(d, bound time.Duration) float64 {
	if bound <= 0 {
		return 1
	}
	r := float64(d) / float64(bound)
	return min(max((r-lateFrom)/(lateTo-lateFrom), 0), 1)
}

// helperCost is what each further engine costs a plan: one more that may fail
// under the request, and a disturbance for what comes next.
const helperCost = 0.01

// helpersCost returns what the plan's further engines cost.
func (p *Plan) helpersCost() float64 {
	return helperCost * float64(len(p.Others))
}

// ownLoss returns what the request itself ownLoss when its first event takes a time.
func (r *Request) ownLoss(first time.Duration, now time.Time) float64 {
	if !r.GiveUpAt.IsZero() && now.Add(first).After(r.GiveUpAt) {
		return r.Worth
	}
	return r.stake() * lateness(first, r.TargetAt.Sub(now))
}

// pauseLoss returns what the request's stream loses when its longest pause takes a time.
func (r *Request) pauseLoss(longest time.Duration) float64 {
	if r.Gap == 0 {
		return 0
	}
	return r.stake() * lateness(longest, r.Gap)
}

// addedLoss returns what a job loses when the next pass takes after rather than
// before, and reads that wait are delayed.
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

// pauseLoss returns what a pause costs a stream: its stake when the stream is late, and
// what is left as well when its caller gives up.
func (j *Job) pauseLoss(pause time.Duration) float64 {
	if pause >= Patience(0, j.Gap) {
		return j.Stake + j.LateWorth
	}
	return j.Stake * lateness(pause, j.Gap)
}
