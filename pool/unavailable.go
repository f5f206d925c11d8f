// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"slices"
	"time"

	"github.com/linkmast/linkmast/notice"
	"github.com/linkmast/linkmast/placement"
)

// leavingAfter is when the callers of a service may come back all of whose endpoints leave:
// others take seconds to start.
const leavingAfter = 2 * time.Second

// leaves states whether an endpoint leaves, as the store or its own answers say.
func (p *state) leaves(e *placement.Engine, v *notice.View) bool {
	return e.Closed || v.Leaves(e.Instance, p.health[e.Instance].born)
}

// barred states whether a request must not be placed on an endpoint.
func (p *state) barred(w *Waiter, e *placement.Engine, v *notice.View) bool {
	return p.leaves(e, v) || slices.Contains(w.ask.Exclude, e.Instance) || p.emptied.bars(&w.ask, e)
}

// refuseUnavailable returns a refusal for a request when each endpoint leaves or has got what its
// rate limit allows, and none takes it in time; nil for others. Ahead is how many requests wait
// that are more urgent.
func (s *Scheduler) refuseUnavailable(p *state, w *Waiter, list []*placement.Engine, ahead int, now time.Time) *Refusal {
	if len(list) > 0 {
		return nil
	}
	var (
		v       = p.notices.View()
		leaving = false
		soonest time.Time
		rate    float64
	)
	for _, e := range p.list {
		l, limited := p.limit(e, v)
		switch {
		case p.leaves(e, v):
			leaving = true
		case limited && !p.barred(w, e, v):
			at := p.nextAt(e, l, w.alone)
			if rate == 0 || at.Before(soonest) {
				soonest = at
			}
			rate += p.rates.share(l, w.alone)
		}
	}
	if rate == 0 && !leaving {
		return nil
	}
	reason, after := "all endpoints leave", leavingAfter
	if rate > 0 {
		at := later(soonest, now).Add(seconds(float64(ahead) / rate))
		if !at.After(w.takenUntil()) {
			return nil
		}
		reason, after = "all endpoints are at their rate limits", at.Sub(now)
	}
	p.unavailable++
	return s.refusal(reason, after)
}

// takenUntil returns until when a place is of use to a request: one at its first try can come
// back later.
func (w *Waiter) takenUntil() time.Time {
	if w.firstTry() {
		return w.request.TargetAt
	}
	return w.gone()
}
