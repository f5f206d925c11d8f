// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"slices"
	"time"

	"github.com/linkmast/linkmast/notice"
	"github.com/linkmast/linkmast/placement"
)

// The measures of keeping to an endpoint's rate limit.
const (
	// rateWindow is the time over which the limit is kept as a mean.
	rateWindow = 4 * time.Second
	// minGapShare is the least time between two requests, in parts of the mean time that the
	// limit allows: more than a burst, less than what wastes the limit when requests come
	// unevenly.
	minGapShare = 0.8
	// minRate is the rate, in requests a second, at which an endpoint is used however low its
	// limit: only an answer tells that the limit has ended.
	minRate = 0.1
)

// placementTimes are the moments at which an endpoint was given requests in the last rateWindow, and
// the latest one before. The zero value has none.
type placementTimes struct {
	at []time.Time
}

// note adds a request.
func (a *placementTimes) note(now time.Time) {
	a.at = append(a.at, now)
	if len(a.at) < 2 || now.Sub(a.at[0]) <= rateWindow {
		return
	}
	first, _ := slices.BinarySearchFunc(a.at[:len(a.at)-1], now.Add(-rateWindow), time.Time.Compare)
	a.at = slices.Delete(a.at, 0, first)
}

// next returns when an endpoint with a rate limit may get the next request; zero for at once.
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

// seconds returns a duration.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}

// maxSeconds bounds a duration that is computed, in seconds.
const maxSeconds = 1e6

// rateLimits are the rate limits of a pool's endpoints.
type rateLimits struct {
	// instances is how many instances there are, which share a limit while they place alone.
	instances int
	// fallbackSince is when this instance last began to place alone, aloneSeen when it last did, and
	// alonePhase is the part of the time between two of its requests after which the first
	// one may go.
	fallbackSince time.Time
	lastFallback  time.Time
	fallbackPhase float64
}

// fallbackTimeout is how long after a decision an instance still counts as one that places alone.
const fallbackTimeout = 10 * time.Second

// rateLimit returns the rate limit of this start of an endpoint.
func (p *poolState) rateLimit(e *placement.Engine, v *notice.View) (notice.Limit, bool) {
	if !v.AnyLimited() {
		return notice.Limit{}, false
	}
	return v.Limit(e.Instance, p.health[e.Instance].startedAt)
}

// nextWithinLimit returns when an endpoint with a rate limit may get a request; zero for at once. An
// instance that places alone has its share of the limit.
func (p *poolState) nextWithinLimit(e *placement.Engine, l notice.Limit, alone bool) time.Time {
	h, rate := p.health[e.Instance], p.rateLimits.share(l, alone)
	if !alone {
		return h.placements.next(rate)
	}
	first := p.rateLimits.fallbackSince.Add(seconds(p.rateLimits.fallbackPhase / rate))
	return later(h.placements.next(rate), first)
}

// share returns what this instance may use of a rate limit, in requests a second.
func (r *rateLimits) share(l notice.Limit, alone bool) float64 {
	rate := max(l.Rate, minRate)
	if alone {
		rate /= float64(max(r.instances, 1))
	}
	return rate
}

// noteFallback notes that this instance decides, alone or not. Instances begin to place alone
// together; the first request of each goes at a moment of its own.
func (s *Scheduler) noteFallback(p *poolState, alone bool, now time.Time) {
	if !alone {
		return
	}
	if now.Sub(p.rateLimits.lastFallback) > fallbackTimeout {
		p.rateLimits.fallbackSince = now
		p.rateLimits.fallbackPhase = s.settings.Draw(time.Second).Seconds()
	}
	p.rateLimits.lastFallback = now
}

// countRateLimited returns how many endpoints name a rate limit.
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
