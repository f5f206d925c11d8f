// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package emulator

import (
	"cmp"
	"slices"
	"time"

	"github.com/linkmast/linkmast/batch"
)

// boundInterval is the time resolution of Bound. Windows are rounded outwards to whole
// intervals, so a longer interval gives a looser bound.
const boundInterval = 100 * time.Millisecond

// Bound returns a worth for each request. No policy can keep more than the sum of these values,
// not even one that knows all arrivals beforehand and meets no fault. A single value does not
// bound the worth that its request keeps. All kinds must have a Gap above zero. The engines are
// relaxed to one supply of engine time, which any request may use at any rate:
//
//	maximize   Σ late + (worth − late) × (prefilled share + decoded share)
//	such that  for each period, the work whose window lies within it fits into it
//
// The work of a request has two parts, whose windows begin with its arrival: the prefill, whose
// window ends at the target, and the decoding, whose window ends when the last event is due. The
// decoding counts as the request's share of passes in which all slots of an engine are in use. The
// shares are fractions of the sum of both parts. The feasible amounts form a polymatroid, so
// taking the work in descending order of worth per second solves the problem. A late answer is
// assumed to cost no engine time.
func Bound(s *Sheet, requests []Request) []float64 {
	model := s.Engines.Model()
	kept := make([]float64, len(requests))
	var works []work
	for i := range requests {
		r := &requests[i]
		kept[i] = r.LateWorth
		works = append(works, s.workOf(i, r, model)...)
	}
	slices.SortStableFunc(works, func(a, b work) int { return cmp.Compare(b.valuePerSecond, a.valuePerSecond) })
	t := newCapacityTable(works, float64(s.Engines.Count)*boundInterval.Seconds())
	for _, w := range works {
		kept[w.request] += t.reserve(w) * w.valuePerSecond
	}
	return kept
}

// Bounded returns the result of Bound as a Result in which each request keeps the worth
// that Bound gives it.
func Bounded(s *Sheet, requests []Request) *Result {
	r := &Result{
		sheet:    s,
		requests: requests,
	}
	for _, kept := range Bound(s, requests) {
		r.Outcomes = append(r.Outcomes, Outcome{
			Worth: kept,
		})
	}
	return r
}

// work is engine time that a request needs within a window.
type work struct {
	request int
	// from and to are the first and the last interval of the window.
	from, to int
	// amount is the engine time in seconds, and valuePerSecond the worth that each of these
	// seconds adds.
	amount         float64
	valuePerSecond float64
}

// workOf returns the prefill and the decode work of request i. The window of the decode work ends
// when the last event is due, but at the latest at the deadline. With a Gap of zero the window
// ends at the target, so the result of Bound may be too low.
func (s *Sheet) workOf(i int, r *Request, m *batch.Model) []work {
	k := &s.Kinds[r.Kind]
	prefill := m.PrefillTime(r.Prompt, 1)
	decode := time.Duration(r.Events-1) * m.PassTime(m.Slots, 0) / time.Duration(m.Slots)
	due := r.At + time.Duration(k.Target)
	last := min(due+time.Duration(r.Events-1)*time.Duration(k.Gap), r.At+time.Duration(k.Deadline))
	perSecond := (r.Worth - r.LateWorth) / (prefill + decode).Seconds()
	return []work{
		{
			request:        i,
			from:           int(r.At / boundInterval),
			to:             int(due / boundInterval),
			amount:         prefill.Seconds(),
			valuePerSecond: perSecond,
		},
		{
			request:        i,
			from:           int(r.At / boundInterval),
			to:             int(last / boundInterval),
			amount:         decode.Seconds(),
			valuePerSecond: perSecond,
		},
	}
}

// capacityTable holds the engine time that is left in each period.
type capacityTable struct {
	intervals int
	// free holds for each period the engine time in seconds that is left for work whose window
	// lies within the period. The index of a period is intervals × its first interval + its last
	// interval.
	free []float64
}

// newCapacityTable returns a table that covers the windows of all works. Each interval has the
// given capacity, in seconds of engine time.
func newCapacityTable(works []work, capacity float64) *capacityTable {
	t := &capacityTable{}
	for _, w := range works {
		t.intervals = max(t.intervals, w.to+1)
	}
	t.free = make([]float64, t.intervals*t.intervals)
	for from := range t.intervals {
		for to := from; to < t.intervals; to++ {
			t.free[from*t.intervals+to] = capacity * float64(to-from+1)
		}
	}
	return t
}

// reserve allocates as much of w as fits into every period that contains its window, and
// returns the allocated time in seconds.
func (t *capacityTable) reserve(w work) float64 {
	fits := w.amount
	for from := range w.from + 1 {
		for _, free := range t.free[from*t.intervals+w.to : (from+1)*t.intervals] {
			fits = min(fits, free)
		}
	}
	if fits <= 0 {
		return 0
	}
	for from := range w.from + 1 {
		row := t.free[from*t.intervals+w.to : (from+1)*t.intervals]
		for i := range row {
			row[i] -= fits
		}
	}
	return fits
}
