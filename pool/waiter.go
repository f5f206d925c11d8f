// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"time"

	"github.com/linkmast/linkmast/placement"
)

// Waiter is a request that has been submitted and waits for its decision.
type Waiter struct {
	ask     PlacementRequest
	request placement.Request
	arrived time.Time
	// granted or refuse gets the decision.
	granted chan Grant
	refused chan *Refusal
	// placeBy is when a late request should have a place; zero while it isn't late.
	placeBy time.Time
	// backoffs are the endpoints that want nothing from the entry, with until when.
	backoffs map[string]time.Time
	// late states that the last plan made the request late.
	late bool
	// entry names the instance that asks.
	entry string
	// fallback states that no owner of the pool could be asked.
	fallback bool
}

// Decision returns the decision once: a place, or a refusal. It returns false while
// there is none.
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

// backoffsUntil returns the endpoints that want nothing from the entry, with until when; nil for
// none.
func (a *PlacementRequest) backoffsUntil(now time.Time) map[string]time.Time {
	if len(a.Backoffs) == 0 {
		return nil
	}
	out := make(map[string]time.Time, len(a.Backoffs))
	for _, r := range a.Backoffs {
		out[r.Instance] = now.Add(r.Duration)
	}
	return out
}

// newWaiter makes the state of an ask.
func (s *Scheduler) newWaiter(p *poolState, a PlacementRequest, now time.Time) *Waiter {
	v := p.worth.Value(a.kind())
	return &Waiter{
		ask:      a,
		backoffs: a.backoffsUntil(now),
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
