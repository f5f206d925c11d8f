// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"math"
	"slices"
	"time"

	"github.com/linkmast/linkmast/notice"
	"github.com/linkmast/linkmast/placement"
)

// lateWait is how long a request that is late already waits for an endpoint that backs off or is at
// its rate limit.
const lateWait = 100 * time.Millisecond

// leavingRetryAfter is when the callers of a service may come back all of whose endpoints leave:
// others take seconds to start.
const leavingRetryAfter = 2 * time.Second

// isLeaving states whether an endpoint leaves, as the store or its own answers say.
func (p *poolState) isLeaving(e *placement.Engine, v *notice.View) bool {
	return e.Closed || v.AnyLeaving() && v.IsLeaving(e.Instance, p.health[e.Instance].startedAt)
}

// ineligible states whether a request must not be placed on an endpoint.
func (p *poolState) ineligible(w *Waiter, e *placement.Engine, v *notice.View) bool {
	return p.isLeaving(e, v) || slices.Contains(w.ask.Exclude, e.Instance) || p.drained.excludes(&w.ask, e)
}

// availableAt returns when an endpoint takes a request: once its back-off has ended, and its rate
// limit allows it; zero for at once.
func (p *poolState) availableAt(w *Waiter, e *placement.Engine, v *notice.View) time.Time {
	at := w.backoffs[e.Instance]
	if l, limited := p.rateLimit(e, v); limited {
		at = later(at, p.nextWithinLimit(e, l, w.fallback))
	}
	return at
}

// withheld returns how many endpoints take a request only later.
func (p *poolState) withheld(w *Waiter, now time.Time) int {
	v := p.notices.View()
	if !v.AnyLimited() && len(w.backoffs) == 0 {
		return 0
	}
	n := 0
	for _, e := range p.list {
		if !p.isLeaving(e, v) && p.availableAt(w, e, v).After(now) {
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
	// elsewhere is when the first of all others does; zero for none.
	elsewhere time.Time
	// someLeaving states that some never will.
	someLeaving bool
}

// availability returns when endpoints take requests again.
func (p *poolState) availability(w *Waiter, now time.Time) availability {
	v := p.notices.View()
	var o availability
	for _, e := range p.list {
		at := p.availableAt(w, e, v)
		switch {
		case p.isLeaving(e, v):
			o.someLeaving = true
		case !p.ineligible(w, e, v):
			if o.rate == 0 || at.Before(o.soonest) {
				o.soonest = at
			}
			o.rate += p.rateOf(w, e, v)
		case at.After(now) && (o.elsewhere.IsZero() || at.Before(o.elsewhere)):
			o.elsewhere = at
		}
	}
	return o
}

// rateOf returns how many requests a second an endpoint takes by its limit.
func (p *poolState) rateOf(w *Waiter, e *placement.Engine, v *notice.View) float64 {
	l, limited := p.rateLimit(e, v)
	if !limited {
		return math.Inf(1)
	}
	return p.rateLimits.share(l, w.fallback)
}

// refuseUnavailable returns a refusal for a request when each endpoint leaves, backs off or has got
// what its rate limit allows, and none takes it in time; nil for others. Ahead is how many
// requests wait that are more urgent.
func (s *Scheduler) refuseUnavailable(p *poolState, w *Waiter, list []*placement.Engine, ahead int, now time.Time) *Refusal {
	if len(list) > 0 {
		return nil
	}
	o := p.availability(w, now)
	reason, after := "all endpoints back off or are at their rate limits", o.elsewhere.Sub(now)
	switch {
	case o.rate > 0:
		at := later(o.soonest, now).Add(seconds(float64(ahead) / o.rate))
		if !at.After(w.waitsUntil()) {
			return nil
		}
		after = at.Sub(now)
	case !o.elsewhere.IsZero():
	case o.someLeaving:
		reason, after = "all endpoints leave", leavingRetryAfter
	default:
		return nil
	}
	p.unavailable++
	return s.refusal(reason, after)
}

// waitsUntil returns until when a request may wait for an endpoint that takes nothing now: while
// it would be in time, and otherwise for a moment. Its caller is better off with another try.
func (w *Waiter) waitsUntil() time.Time {
	return later(w.request.TargetAt, w.arrived.Add(lateWait))
}
