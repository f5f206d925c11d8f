// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"math"
	"time"
)

// Parameters of the price of engine time.
const (
	// priceDecay is the time constant with which past decisions lose their weight. Slots and long
	// prefills turn over in about this time.
	priceDecay = 2 * time.Second
	// priceShare is the full price as a part of the worth that displaced requests lost for each
	// second of engine time. A late answer usually keeps less worth than the price, and an answer
	// in time more. With 0.5, more callers come back in vain: bursts with faults before 18 engines
	// kept 0.691 of all worth instead of 0.698.
	priceShare = 0.3
	// priceFullShare is the part of the requested engine time that must have been displaced for
	// the full price. With less, the price is lower in proportion, as a few late requests are no
	// reason to refuse others.
	priceFullShare = 0.1
)

// price estimates what a second of engine time is worth to other requests. It is derived from
// the requests that were displaced recently, that is, refused or placed too late to be in time:
//
//	price = priceShare × lost / displaced × min(1, displaced / (priceFullShare × asked))
//
// The price is zero if no request was displaced. poolState.priceNow scales it by the
// utilization of the engines, so that idle engines are free to use.
//
// It guards against a collapse under an overload of short prompts, in which late answers to
// returning callers fill the slots. With two of six engines eight times slower for six seconds, at 1.4
// times the requests that all six can serve, 0.38 to 0.42 of the requests are in time with it and 0.21
// to 0.25 without. The zero value is ready for use.
type price struct {
	// lost is the worth that displaced requests lost, in units of worth.
	lost float64
	// displaced is the engine time of displaced requests, and asked that of all requests, in
	// seconds.
	displaced float64
	asked     float64
	// at is when the sums last decayed.
	at time.Time
}

// record adds the decision on a request: work is the engine time that it takes, and lost the worth
// that it loses by being displaced, which is zero if it is served in time.
func (p *price) record(work time.Duration, lost float64, now time.Time) {
	p.decay(now)
	p.asked += work.Seconds()
	if lost > 0 {
		p.displaced += work.Seconds()
		p.lost += lost
	}
}

// perSecond returns the price of a second of engine time at full utilization, in units of
// worth.
func (p *price) perSecond(now time.Time) float64 {
	p.decay(now)
	if p.displaced == 0 {
		return 0
	}
	full := min(1, p.displaced/(priceFullShare*p.asked))
	return priceShare * p.lost / p.displaced * full
}

// decay decays the sums by the time since they last decayed.
func (p *price) decay(now time.Time) {
	if !p.at.IsZero() {
		kept := math.Exp(-now.Sub(p.at).Seconds() / priceDecay.Seconds())
		p.lost *= kept
		p.displaced *= kept
		p.asked *= kept
	}
	p.at = now
}

// priceNow returns the price of a second of engine time, in units of worth.
func (p *poolState) priceNow(now time.Time) float64 {
	return p.price.perSecond(now) * p.utilization(now)
}

// utilization returns the part of the healthy engines that is in use. An engine with pending
// prefill counts in full, any other by its part of slots in use.
func (p *poolState) utilization(now time.Time) float64 {
	used, all := 0.0, 0
	for _, e := range p.list {
		if p.unhealthy(e, now) {
			continue
		}
		all++
		if e.PendingPrefill() > 0 {
			used++
			continue
		}
		used += float64(e.Running()) / float64(e.Slots)
	}
	return used / float64(max(all, 1))
}
