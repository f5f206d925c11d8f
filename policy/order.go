// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package policy

import (
	"time"
)

// Reason explains a decision. It appears in the log.
type Reason string

// Reasons of decisions.
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

// Parameters of the order.
const (
	// ageing is the expected work, in seconds, that one second of waiting offsets.
	ageing = 0.2
	// shareWeight times the customer's share of the leases is added to the expected work of a
	// request, in seconds. It keeps a customer with many requests from delaying others of its tier.
	shareWeight = 2
	// reserveAfter is the fraction of MaxWait after which memory that becomes free is reserved
	// for the waiting request.
	reserveAfter = 0.5
)

// Strategy selects how owners order their queues and how endpoints are chosen.
type Strategy interface {
	strategy()
}

// Weighed orders by tier, expected work, customer share and age, and chooses the endpoint with
// the lowest estimated time to first token.
type Weighed struct{}

// Naive serves in order of arrival and chooses a random endpoint. It is a baseline for
// comparisons with Weighed.
type Naive struct{}

func (Weighed) strategy() {}
func (Naive) strategy()   {}

// Verdict is the outcome of Next.
type Verdict struct {
	// Index is the queue index of the request that starts next; -1 when none can start.
	Index int
	// Reason explains the verdict.
	Reason Reason
}

// Next picks the request of a queue that starts next on the endpoint.
func Next(s Strategy, queue []*Work, l *Ledger, now time.Time) Verdict {
	switch s.(type) {
	case Naive:
		return nextArrival(queue, l)
	default:
		return nextWeighed(queue, l, now)
	}
}

// nextArrival picks the first request of the queue if it fits.
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

// nextWeighed picks the first request that fits, in the order of Before. Requests that don't
// fit may be overtaken until they have waited for reserveAfter of their MaxWait; from then on
// memory is reserved for them.
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

// Before reports whether a goes ahead of b.
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

// score returns the expected work in seconds, increased by the customer's share of the leases
// and decreased by the waiting time. Lower scores go first.
func score(w *Work, l *Ledger, now time.Time) float64 {
	return l.MinTime(w).Seconds() + shareWeight*l.Share(w.Customer) - ageing*now.Sub(w.Arrived).Seconds()
}

// mustKeepMemory reports whether w must not start because the memory is reserved for a request
// of the same or a better rank that has waited long for it.
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
