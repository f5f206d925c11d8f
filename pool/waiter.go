// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"time"

	"github.com/linkmast/linkmast/placement"
)

// Waiter is a submitted request, from its submission to the decision.
type Waiter struct {
	placementRequest PlacementRequest
	// request describes the placementRequest to package placement, with times instead of durations.
	request placement.Request
	arrived time.Time
	// granted or refused receives the decision.
	granted chan Grant
	refused chan *Refusal
	// placeBy is when a late request with a long prompt is refused if it is still not placed; zero
	// until it is late.
	placeBy time.Time
	// backoffs holds the end of the back-off of each endpoint that asked the entry instance for
	// one.
	backoffs map[string]time.Time
	// late is set if the last search for a place found no plan, or only one that makes the request
	// late.
	late bool
	// entry names the entry instance.
	entry string
	// fallback is set if this instance decides because it reaches none of the instances that come
	// before it in the pool's order of owners. Others may decide at the same time.
	fallback bool
	// retryPending is set while a place in the retry budget is reserved for the request.
	retryPending bool
}

// Decision returns the grant or the refusal, once. It returns false if there is no decision yet, or
// if it was received before.
func (w *Waiter) Decision() (Grant, *Refusal, bool) {
	select {
	case g := <-w.granted:
		return g, nil, true
	case r := <-w.refused:
		return Grant{}, r, true
	default:
		return Grant{}, nil, false
	}
}

// backoffsUntil returns the end of the back-off of each endpoint that asked the entry instance for
// one; nil if there are none.
func (a *PlacementRequest) backoffsUntil(now time.Time) map[string]time.Time {
	if len(a.Backoffs) == 0 {
		return nil
	}
	out := make(map[string]time.Time, len(a.Backoffs))
	for _, b := range a.Backoffs {
		out[b.Instance] = now.Add(b.Duration)
	}
	return out
}

// newWaiter returns the Waiter of a placement request that arrives now.
func (s *Scheduler) newWaiter(p *poolState, a PlacementRequest, now time.Time) *Waiter {
	v := p.worth.Worth(a.worthRequest())
	return &Waiter{
		placementRequest: a,
		backoffs:         a.backoffsUntil(now),
		request: placement.Request{
			ID:        a.ID,
			Prompt:    a.Prompt,
			Output:    a.Output,
			Gap:       a.Gap,
			TargetAt:  now.Add(a.timeLeft()),
			GiveUpAt:  now.Add(placement.Patience(a.Target, a.Gap)),
			Worth:     v.InTime,
			LateWorth: v.Late,
			Exclude:   a.Exclude,
		},
		arrived: now,
		granted: make(chan Grant, 1),
		refused: make(chan *Refusal, 1),
	}
}
