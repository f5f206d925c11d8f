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
	// rateGapShare is the least time between two requests, in parts of the mean time that the
	// limit allows: more than a burst, less than what wastes the limit when requests come
	// unevenly.
	rateGapShare = 0.8
	// leastRate is the rate, in requests a second, at which an endpoint is used however low its
	// limit: only an answer tells that the limit has ended.
	leastRate = 0.1
)

// arrivals are the moments at which an endpoint was given requests in the last rateWindow, and
// the latest one before. The zero value has none.
type arrivals struct {
	at []time.Time
}

// note adds a request.
func (a *arrivals) note(now time.Time) {
	a.at = append(a.at, now)
	if len(a.at) < 2 || now.Sub(a.at[0]) <= rateWindow {
		return
	}
	first, _ := slices.BinarySearchFunc(a.at[:len(a.at)-1], now.Add(-rateWindow), time.Time.Compare)
	a.at = slices.Delete(a.at, 0, first)
}

// next returns when an endpoint with a rate limit may get the next request; zero for at once.
func (a *arrivals) next(rate float64) time.Time {
	n := len(a.at)
	if n == 0 {
		return time.Time{}
	}
	most := max(int(rate*rateWindow.Seconds()), 1)
	gap := seconds(1 / rate)
	if most > 1 {
		gap = seconds(rateGapShare / rate)
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

// rates are the rate limits of a pool's endpoints.
type rates struct {
	// instances is how many instances there are, which share a limit while they place alone.
	instances int
	// aloneAt is when this instance last began to place alone, aloneSeen when it last did, and
	// alonePhase is the part of the time between two of its requests after which the first
	// one may go.
	aloneAt    time.Time
	aloneSeen  time.Time
	alonePhase float64
}

// aloneFor is how long after a decision an instance still counts as one that places alone.
const aloneFor = 10 * time.Second

// limit returns the rate limit of this start of an endpoint.
func (p *state) limit(e *placement.Engine, v *notice.View) (notice.Limit, bool) {
	if !v.AnyLimited() {
		return notice.Limit{}, false
	}
	return v.Limit(e.Instance, p.health[e.Instance].born)
}

// nextAt returns when an endpoint with a rate limit may get a request; zero for at once. An
// instance that places alone has its share of the limit.
func (p *state) nextAt(e *placement.Engine, l notice.Limit, alone bool) time.Time {
	h, rate := p.health[e.Instance], p.rates.share(l, alone)
	if !alone {
		return h.given.next(rate)
	}
	first := p.rates.aloneAt.Add(seconds(p.rates.alonePhase / rate))
	return later(h.given.next(rate), first)
}

// share returns what this instance may use of a rate limit, in requests a second.
func (r *rates) share(l notice.Limit, alone bool) float64 {
	rate := max(l.Rate, leastRate)
	if alone {
		rate /= float64(max(r.instances, 1))
	}
	return rate
}

// noteAlone notes that this instance decides, alone or not. Instances begin to place alone
// together; the first request of each goes at a moment of its own.
func (s *Scheduler) noteAlone(p *state, alone bool, now time.Time) {
	if !alone {
		return
	}
	if now.Sub(p.rates.aloneSeen) > aloneFor {
		p.rates.aloneAt = now
		p.rates.alonePhase = s.settings.Draw(time.Second).Seconds()
	}
	p.rates.aloneSeen = now
}

// limited returns how many endpoints name a rate limit.
func (p *state) limited() int {
	v := p.notices.View()
	n := 0
	for _, e := range p.list {
		if _, limited := p.limit(e, v); limited {
			n++
		}
	}
	return n
}
