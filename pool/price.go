// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"math"
	"time"
)

// The measures of the price of engines' time.
const (
	// priceDecay is the time in which what was displaced counts by a factor of e less:
	// slots and long reads turn over in about as long.
	priceDecay = 2 * time.Second
	// priceShare is the part of what displaced requests would have earned that a
	// request must keep for the same time of engines. Late requests keep a quarter and
	// yield; those in time pass whose prompts are too long to earn as much a second.
	// With 0.5 more callers came back in vain: 0.691 of all worth in place of 0.698
	// (18 engines, fifteen plays of bursts with faults, same seeds).
	priceShare = 0.3
	// priceFullShare is the part of the work asked for that must have been displaced for the
	// price to hold in full. With less it is smaller in proportion: a few late requests
	// need not be told that others are.
	priceFullShare = 0.1
)

// price learns what a second of the engines' time is worth to others, from what was
// displaced of late:
//
//	price = priceShare × lost / displaced × min(1, displaced / (priceFull × asked))
//
// It counts by the part of the engines that are in use now, so that nothing is held back
// while engines rest. Nothing is displaced at a calm moment, and the price is zero.
//
// It guards against the collapse under more short prompts than there are slots, in which
// callers that have come back fill the slots with late answers: of six engines, two of
// them eight times slower for six seconds under 1.4 times of what all of them can do,
// 0.38 to 0.42 of the requests were in time with it and 0.21 to 0.25 without, and 0.90 to
// 1.00 in the second second after the engines' return in place of 0.70 to 0.90 (emulated
// pool of the tests).
//
// The zero value is ready for use.
type price struct {
	// lost is the worth that was lost by displaced requests, in units of worth.
	lost float64
	// displaced is the engines' time that they would have taken, and asked that of all
	// requests, in seconds.
	displaced float64
	asked     float64
	// at is up to when these have faded.
	at time.Time
}

// note takes over a decision: a request that takes the given time of engines, and how
// much of its worth it loses for want of room.
func (p *price) note(work time.Duration, lost float64, now time.Time) {
	p.fade(now)
	p.asked += work.Seconds()
	if lost > 0 {
		p.displaced += work.Seconds()
		p.lost += lost
	}
}

// perSecond returns what a second of one engine costs, in units of worth.
func (p *price) perSecond(now time.Time) float64 {
	p.fade(now)
	if p.displaced == 0 {
		return 0
	}
	full := min(1, p.displaced/(priceFullShare*p.asked))
	return priceShare * p.lost / p.displaced * full
}

// fade lets what was noted count less.
func (p *price) fade(now time.Time) {
	if !p.at.IsZero() {
		kept := math.Exp(-now.Sub(p.at).Seconds() / priceDecay.Seconds())
		p.lost *= kept
		p.displaced *= kept
		p.asked *= kept
	}
	p.at = now
}

// priceNow returns what a second of one engine costs now, in units of worth.
func (p *poolState) priceNow(now time.Time) float64 {
	return p.price.perSecond(now) * p.utilization(now)
}

// utilization returns the part of the engines that are in use: of each that does not read, the
// part of its slots that run.
func (p *poolState) utilization(now time.Time) float64 {
	used, all := 0.0, 0
	for _, e := range p.list {
		if p.excluded(e, now) {
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
