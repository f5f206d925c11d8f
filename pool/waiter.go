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
	// reply or refuse gets the decision.
	reply  chan Grant
	refuse chan *Refusal
	// placeBy is when a late request should have a place; zero while it isn't late.
	placeBy time.Time
	// backoffs are the endpoints that want nothing from the entry, with until when.
	backoffs map[string]time.Time
	// late states that the last plan made the request late.
	late bool
	// entry names the instance that asks.
	entry string
	// alone states that no owner of the pool could be asked.
	alone bool
}

// Decision returns the decision once: a place, or a refusal. It returns false while
// there is none.
func (w *Waiter) Decision() (Grant, *Refusal, bool) {
	select {
	case g := <-w.reply:
		return g, nil, true
	case r := <-w.refuse:
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

// waiter makes the state of an ask.
func (s *Scheduler) waiter(p *state, a PlacementRequest, now time.Time) *Waiter {
	v := p.worth.Value(a.kind())
	return &Waiter{
		ask:      a,
		backoffs: a.backoffsUntil(now),
		request: placement.Request{
			ID:        a.ID,
			Prompt:    a.Prompt,
			Output:    a.Output,
			Gap:       a.Gap,
			TargetAt:  now.Add(a.left()),
			GiveUpAt:  now.Add(placement.Patience(a.Target, a.Gap)),
			Worth:     v.InTime,
			LateWorth: v.Late,
			Exclude:   a.Exclude,
		},
		arrived: now,
		reply:   make(chan Grant, 1),
		refuse:  make(chan *Refusal, 1),
	}
}
