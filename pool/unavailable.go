// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"math"
	"slices"
	"time"

	"github.com/linkmast/linkmast/notice"
	"github.com/linkmast/linkmast/placement"
)

// lateHold is how long a request that is late already waits for an endpoint that backs off or is at
// its rate limit.
const lateHold = 100 * time.Millisecond

// leavingAfter is when the callers of a service may come back all of whose endpoints leave:
// others take seconds to start.
const leavingAfter = 2 * time.Second

// leaves states whether an endpoint leaves, as the store or its own answers say.
func (p *state) leaves(e *placement.Engine, v *notice.View) bool {
	return e.Closed || v.AnyLeaving() && v.IsLeaving(e.Instance, p.health[e.Instance].born)
}

// barred states whether a request must not be placed on an endpoint.
func (p *state) barred(w *Waiter, e *placement.Engine, v *notice.View) bool {
	return p.leaves(e, v) || slices.Contains(w.ask.Exclude, e.Instance) || p.emptied.bars(&w.ask, e)
}

// availableAt returns when an endpoint takes a request: once its back-off has ended, and its rate
// limit allows it; zero for at once.
func (p *state) availableAt(w *Waiter, e *placement.Engine, v *notice.View) time.Time {
	at := w.backoffs[e.Instance]
	if l, limited := p.limit(e, v); limited {
		at = later(at, p.nextAt(e, l, w.alone))
	}
	return at
}

// withheld returns how many endpoints take a request only later.
func (p *state) withheld(w *Waiter, now time.Time) int {
	v := p.notices.View()
	if !v.AnyLimited() && len(w.backoffs) == 0 {
		return 0
	}
	n := 0
	for _, e := range p.list {
		if !p.leaves(e, v) && p.availableAt(w, e, v).After(now) {
			n++
		}
	}
	return n
}

// availability is when endpoints that take nothing now take requests again.
type availability struct {
	// soonest is when the first of those does that a request may have, and rate how many a
	// second they take in all; zero for none.
	soonest time.Time
	rate    float64
	// back is when the first of all others does; zero for none.
	back time.Time
	// leaving states that some never will.
	leaving bool
}

// availability returns when endpoints take requests again.
func (p *state) availability(w *Waiter, now time.Time) availability {
	v := p.notices.View()
	var o availability
	for _, e := range p.list {
		at := p.availableAt(w, e, v)
		switch {
		case p.leaves(e, v):
			o.leaving = true
		case !p.barred(w, e, v):
			if o.rate == 0 || at.Before(o.soonest) {
				o.soonest = at
			}
			o.rate += p.rateOf(w, e, v)
		case at.After(now) && (o.back.IsZero() || at.Before(o.back)):
			o.back = at
		}
	}
	return o
}

// rateOf returns how many requests a second an endpoint takes by its limit.
func (p *state) rateOf(w *Waiter, e *placement.Engine, v *notice.View) float64 {
	l, limited := p.limit(e, v)
	if !limited {
		return math.Inf(1)
	}
	return p.rates.share(l, w.alone)
}

// refuseUnavailable returns a refusal for a request when each endpoint leaves, backs off or has got
// what its rate limit allows, and none takes it in time; nil for others. Ahead is how many
// requests wait that are more urgent.
func (s *Scheduler) refuseUnavailable(p *state, w *Waiter, list []*placement.Engine, ahead int, now time.Time) *Refusal {
	if len(list) > 0 {
		return nil
	}
	o := p.availability(w, now)
	reason, after := "all endpoints back off or are at their rate limits", o.back.Sub(now)
	switch {
	case o.rate > 0:
		at := later(o.soonest, now).Add(seconds(float64(ahead) / o.rate))
		if !at.After(w.takenUntil()) {
			return nil
		}
		after = at.Sub(now)
	case !o.back.IsZero():
	case o.leaving:
		reason, after = "all endpoints leave", leavingAfter
	default:
		return nil
	}
	p.unavailable++
	return s.refusal(reason, after)
}

// takenUntil returns until when a request may wait for an endpoint that takes nothing now: while
// it would be in time, and otherwise for a moment. Its caller is better off with another try.
func (w *Waiter) takenUntil() time.Time {
	return later(w.request.TargetAt, w.arrived.Add(lateHold))
}
