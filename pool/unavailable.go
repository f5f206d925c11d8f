// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"math"
	"slices"
	"time"

	"github.com/linkmast/linkmast/notice"
	"github.com/linkmast/linkmast/placement"
)

// lateWait is how long a request that is late already waits for an endpoint that backs off or
// is at its rate limit.
const lateWait = 100 * time.Millisecond

// leavingRetryAfter is the least RetryAfter of a refusal because all endpoints are leaving.
// Their replacements take seconds to start.
const leavingRetryAfter = 2 * time.Second

// isLeaving reports whether an endpoint is leaving, according to the catalog or to its own answers.
func (p *poolState) isLeaving(e *placement.Engine, v *notice.View) bool {
	return e.Closed || v.AnyLeaving() && v.IsLeaving(e.Instance, p.health[e.Instance].startedAt)
}

// ineligible reports whether a request must not be placed on an endpoint at all: it is leaving,
// drained or excluded by the request.
func (p *poolState) ineligible(w *Waiter, e *placement.Engine, v *notice.View) bool {
	return p.isLeaving(e, v) || slices.Contains(w.placementRequest.Exclude, e.Instance) || p.drained.covers(&w.placementRequest, e)
}

// availableAt returns when an endpoint accepts a request, by its back-off and its rate limit. A time
// in the past or zero means at once.
func (p *poolState) availableAt(w *Waiter, e *placement.Engine, v *notice.View) time.Time {
	at := w.backoffs[e.Instance]
	if l, limited := p.rateLimit(e, v); limited {
		at = later(at, p.nextWithinLimit(e, l, w.fallback))
	}
	return at
}

// withheld returns how many endpoints don't accept the request yet because of a back-off or a
// rate limit.
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

// availability states when the endpoints that don't accept a request now will accept it.
type availability struct {
	// soonest is when the first eligible endpoint accepts the request, and rate how many
	// requests a second all eligible endpoints accept; zero if there are none.
	soonest time.Time
	rate    float64
	// eligible is the number of endpoints that the request may use.
	eligible int
	// elsewhere is the earliest end of a back-off or of a wait for a rate limit among the endpoints
	// that the request must not use; zero if there is none.
	elsewhere time.Time
	// someLeaving is set if an endpoint is leaving.
	someLeaving bool
}

// availability returns when the endpoints of the pool accept a request.
func (p *poolState) availability(w *Waiter, now time.Time) availability {
	v := p.notices.View()
	var o availability
	for _, e := range p.list {
		at := p.availableAt(w, e, v)
		switch {
		case p.isLeaving(e, v):
			o.someLeaving = true
		case !p.ineligible(w, e, v):
			o.eligible++
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

// rateOf returns how many requests a second an endpoint accepts from this instance; infinite
// without a rate limit.
func (p *poolState) rateOf(w *Waiter, e *placement.Engine, v *notice.View) float64 {
	l, limited := p.rateLimit(e, v)
	if !limited {
		return math.Inf(1)
	}
	return p.rateLimits.share(l, w.fallback)
}

// refuseUnavailable returns a refusal if no endpoint is usable because of departures, back-offs,
// rate limits or the request's own exclusions, and none accepts the request soon enough; nil otherwise. List has the usable
// endpoints. Ahead is the number of waiting requests that go before this one.
func (s *Scheduler) refuseUnavailable(p *poolState, w *Waiter, list []*placement.Engine, ahead int, now time.Time) *Refusal {
	if len(list) > 0 {
		return nil
	}
	o := p.availability(w, now)
	reason, after := "all endpoints back off or are at their rate limits", o.elsewhere.Sub(now)
	switch {
	case o.eligible == 0 && o.elsewhere.IsZero() && len(w.placementRequest.Exclude) > 0 && len(p.list) > 0:
		// A wait would end only if a new endpoint started meanwhile.
		reason, after = "request failed at all endpoints", 0
		if o.someLeaving {
			after = leavingRetryAfter
		}
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

// waitsUntil returns the time until which a request waits for an endpoint that doesn't accept it
// now: when it becomes late, but at least lateWait after its arrival unless it has waited before. A
// request that would wait longer is refused, so that its caller tries again.
func (w *Waiter) waitsUntil() time.Time {
	if w.placedInVain() {
		return w.request.TargetAt
	}
	return later(w.request.TargetAt, w.arrived.Add(lateWait))
}

// placedInVain reports whether the request was placed before and nothing was sent, because the endpoint
// had become unavailable or unreachable.
func (w *Waiter) placedInVain() bool {
	return len(w.placementRequest.Exclude) > 0 && !w.placementRequest.Retry
}
