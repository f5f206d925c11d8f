// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"slices"
	"time"

	"github.com/linkmast/linkmast/notice"
	"github.com/linkmast/linkmast/placement"
)

// Parameters for keeping an endpoint's rate limit.
const (
	// rateWindow is the time over which the mean rate is kept within the limit.
	rateWindow = 4 * time.Second
	// minGapShare is the least time between two requests as a part of 1/rate, their mean distance at
	// the limit. It prevents bursts, but lets requests that arrive unevenly use most of the limit. If
	// the limit allows fewer than two requests in a rateWindow, the least time is 1/rate.
	minGapShare = 0.8
	// minRate replaces a lower limit, in requests a second, as only an answer shows that the limit
	// has ended.
	minRate = 0.1
)

// placementTimes holds the times of the placements on an endpoint in the rateWindow before the
// last one, the oldest first. The zero value holds none.
type placementTimes struct {
	at []time.Time
}

// add adds a placement.
func (a *placementTimes) add(now time.Time) {
	a.at = append(a.at, now)
	if len(a.at) < 2 || now.Sub(a.at[0]) <= rateWindow {
		return
	}
	first, _ := slices.BinarySearchFunc(a.at[:len(a.at)-1], now.Add(-rateWindow), time.Time.Compare)
	a.at = slices.Delete(a.at, 0, first)
}

// next returns when an endpoint with the given rate limit, in requests a second, may get the
// next request. A time in the past or zero means at once.
func (a *placementTimes) next(rate float64) time.Time {
	n := len(a.at)
	if n == 0 {
		return time.Time{}
	}
	most := max(int(rate*rateWindow.Seconds()), 1)
	gap := seconds(1 / rate)
	if most > 1 {
		gap = seconds(minGapShare / rate)
	}
	at := a.at[n-1].Add(gap)
	if n >= most {
		at = later(at, a.at[n-most].Add(seconds(float64(most)/rate)))
	}
	return at
}

// seconds converts seconds to a duration, bounded by maxSeconds.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}

// maxSeconds bounds computed durations, in seconds, to prevent an overflow.
const maxSeconds = 1e6

// rateLimits holds what is needed to divide the rate limits of a pool's endpoints among
// instances that reach no owner.
type rateLimits struct {
	// instances is the number of all instances.
	instances int
	// fallbackSince is when the present period of fallback began, in which this instance decides by
	// itself because it reaches no owner, and lastFallback is when it last did so. The first request
	// of the period is delayed by fallbackPhase, from 0 to 1, times the time between two requests.
	fallbackSince time.Time
	lastFallback  time.Time
	fallbackPhase float64
}

// fallbackTimeout is how long a period of fallback continues after the last request for which the
// instance reached no owner. A later one begins a new period.
const fallbackTimeout = 10 * time.Second

// rateLimit returns the rate limit that the current incarnation of an endpoint announces, if any.
func (p *poolState) rateLimit(e *placement.Engine, v *notice.View) (notice.Limit, bool) {
	if !v.AnyLimited() {
		return notice.Limit{}, false
	}
	return v.Limit(e.Instance, p.health[e.Instance].startedAt)
}

// nextWithinLimit returns when an endpoint with a rate limit may get a request. A time in the past
// or zero means at once. Fallback is set if this instance reaches no owner, so that it has only
// its share of the limit.
func (p *poolState) nextWithinLimit(e *placement.Engine, l notice.Limit, fallback bool) time.Time {
	h, rate := p.health[e.Instance], p.rateLimits.share(l, fallback)
	if !fallback {
		return h.placements.next(rate)
	}
	earliest := p.rateLimits.fallbackSince.Add(seconds(p.rateLimits.fallbackPhase / rate))
	return later(h.placements.next(rate), earliest)
}

// share returns how many requests a second this instance may place under a rate limit.
func (r *rateLimits) share(l notice.Limit, fallback bool) float64 {
	rate := max(l.Rate, minRate)
	if fallback {
		rate /= float64(max(r.instances, 1))
	}
	return rate
}

// recordFallback records, if fallback is set, that this instance decides by itself because it
// reaches no owner. Many instances lose the owner at the same moment, so a random phase spreads
// their first requests.
func (s *Scheduler) recordFallback(p *poolState, fallback bool, now time.Time) {
	if !fallback {
		return
	}
	if now.Sub(p.rateLimits.lastFallback) > fallbackTimeout {
		p.rateLimits.fallbackSince = now
		p.rateLimits.fallbackPhase = s.settings.Draw(time.Second).Seconds()
	}
	p.rateLimits.lastFallback = now
}

// countRateLimited returns how many endpoints announce a rate limit.
func (p *poolState) countRateLimited() int {
	v := p.notices.View()
	n := 0
	for _, e := range p.list {
		if _, limited := p.rateLimit(e, v); limited {
			n++
		}
	}
	return n
}
