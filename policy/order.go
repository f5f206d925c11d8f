// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package policy

import (
	"time"
)

// Reason says why a decision came out as it did. It is written to the log.
type Reason string

// The reasons of decisions.
const (
	ReasonNone        Reason = "fits"
	ReasonSlots       Reason = "no slot is free"
	ReasonMemory      Reason = "not enough memory is free"
	ReasonLongMemory  Reason = "long prompts hold their share of memory"
	ReasonLongPrefill Reason = "a long prompt is in prefill"
	ReasonPrefill     Reason = "prefill ahead fills the window"
	ReasonReserved    Reason = "memory is kept for a request that waited long"
	ReasonLeastWait   Reason = "least estimated time to first token"
	ReasonPrefix      Reason = "prefix is likely cached"
	ReasonRandom      Reason = "random"
	ReasonArrival     Reason = "arrival"
	ReasonOrder       Reason = "first by tier, work, share and age"
)

// The measures of the order.
const (
	// ageing is how much expected work a second of waiting makes up for.
	ageing = 0.2
	// shareWeight is how much expected work a customer's whole share of the leases
	// counts as, in seconds, so that a large customer does not hold up the
	// others of its tier.
	shareWeight = 2
	// reserveAfter is the part of MaxWait after which memory that comes free
	// is kept for the request that waits for it.
	reserveAfter = 0.5
)

// Strategy is how an owner orders its queue and an entry chooses.
type Strategy interface {
	strategy()
}

// Weighed is the strategy of this package.
type Weighed struct{}

// Naive chooses a random endpoint and serves in order of arrival. It is the
// baseline that Weighed is measured against.
type Naive struct{}

func (Weighed) strategy() {}
func (Naive) strategy()   {}

// Verdict is the outcome of Next.
type Verdict struct {
	// Index is the place in the queue that goes next; -1 when none can.
	Index int
	// Reason says why.
	Reason Reason
}

// Next returns which of the waiting requests starts next on the endpoint.
func Next(s Strategy, queue []*Work, l *Ledger, now time.Time) Verdict {
	switch s.(type) {
	case Naive:
		return nextArrival(queue, l)
	default:
		return nextWeighed(queue, l, now)
	}
}

// nextArrival is the naive order: the first that came, if it fits.
func nextArrival(queue []*Work, l *Ledger) Verdict {
	if len(queue) == 0 {
		return Verdict{
			Index: -1,
		}
	}
	w := queue[0]
	if l.Running() >= l.MaxRunning {
		return Verdict{
			Index:  -1,
			Reason: ReasonSlots,
		}
	}
	if l.Memory > 0 && w.Bytes > l.Free() {
		return Verdict{
			Index:  -1,
			Reason: ReasonMemory,
		}
	}
	return Verdict{
		Index:  0,
		Reason: ReasonArrival,
	}
}

// nextWeighed is the order by tier, expected work and age. A request that does
// not fit is passed over, until it has waited for reserveAfter of its MaxWait;
// from then on nothing behind it takes memory.
func nextWeighed(queue []*Work, l *Ledger, now time.Time) Verdict {
	best := Verdict{
		Index: -1,
	}
	for i, w := range queue {
		if best.Index >= 0 && !Before(w, queue[best.Index], l, now) {
			continue
		}
		fits, why := l.Fits(w, now)
		if !fits {
			if best.Index < 0 {
				best.Reason = why
			}
			continue
		}
		best = Verdict{
			Index:  i,
			Reason: ReasonOrder,
		}
	}
	if best.Index >= 0 && mustKeepMemory(queue, queue[best.Index], l, now) {
		return Verdict{
			Index:  -1,
			Reason: ReasonReserved,
		}
	}
	return best
}

// Before states whether a goes ahead of b.
func Before(a, b *Work, l *Ledger, now time.Time) bool {
	ra, rb := a.RankAt(now), b.RankAt(now)
	if ra != rb {
		return ra < rb
	}
	sa, sb := score(a, l, now), score(b, l, now)
	if sa != sb {
		return sa < sb
	}
	return a.Arrived.Before(b.Arrived)
}

// score is the expected work in seconds and the customer's share, less what
// waiting makes up for.
func score(w *Work, l *Ledger, now time.Time) float64 {
	return l.MinTime(w).Seconds() + shareWeight*l.Share(w.Customer) - ageing*now.Sub(w.Arrived).Seconds()
}

// mustKeepMemory states whether a request that lacks memory and has waited long goes
// ahead of w, so that w must leave the memory alone.
func mustKeepMemory(queue []*Work, w *Work, l *Ledger, now time.Time) bool {
	for _, o := range queue {
		if o == w || now.Sub(o.Arrived) < time.Duration(reserveAfter*float64(o.MaxWait)) {
			continue
		}
		if o.Bytes <= l.Free() || o.Bytes > l.Memory {
			continue
		}
		if o.RankAt(now) <= w.RankAt(now) && w.Bytes+o.Bytes > l.Free() {
			return true
		}
	}
	return false
}
