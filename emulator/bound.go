// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package emulator

import (
	"cmp"
	"slices"
	"time"

	"github.com/linkmast/linkmast/batch"
)

// boundInterval is the grain of time of a bound. Windows are rounded outwards to it, so a
// coarser one gives a higher bound.
const boundInterval = 100 * time.Millisecond

// Bound returns, for each request, a worth whose sum no way to decide exceeds, with all
// arrivals known and no faults. It relaxes the engines to one store of engine time, which
// any request may use at any rate:
//
//	maximize   Σ late + (worth − late) × (read share + written share)
//	such that  in each interval, the work whose window lies in it fits into it
//
// The work of a request is reading its prompt, within its target, and its part of the
// steps of full engines that write its answer, within its pauses. The relaxed problem is
// that of a polymatroid, which taking the work in the order of its worth for each second
// solves. What is not in time is taken to be kept late at no cost.
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

// Bounded returns the bound as a result, in which each request keeps what Bound gives it.
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

// work is engine time that a request needs within a window of slots.
type work struct {
	request int
	// from and to are the first and the last slot of the window.
	from, to int
	// amount is in seconds of one engine, and perSecond what each is worth.
	amount         float64
	valuePerSecond float64
}

// workOf returns the reading and the writing of a request.
func (s *Sheet) workOf(i int, r *Request, m *batch.Model) []work {
	k := &s.Kinds[r.Kind]
	read := m.PrefillTime(r.Prompt, 1)
	write := time.Duration(r.Events-1) * m.PassTime(m.Slots, 0) / time.Duration(m.Slots)
	due := r.At + time.Duration(k.Target)
	last := min(due+time.Duration(r.Events-1)*time.Duration(k.Gap), r.At+time.Duration(k.Deadline))
	perSecond := (r.Worth - r.LateWorth) / (read + write).Seconds()
	return []work{
		{
			request:        i,
			from:           int(r.At / boundInterval),
			to:             int(due / boundInterval),
			amount:         read.Seconds(),
			valuePerSecond: perSecond,
		},
		{
			request:        i,
			from:           int(r.At / boundInterval),
			to:             int(last / boundInterval),
			amount:         write.Seconds(),
			valuePerSecond: perSecond,
		},
	}
}

// capacityTable holds how much work has been taken.
type capacityTable struct {
	intervals int
	// free is what is left of each interval of slots after the work within it, in
	// seconds, by its first and last slot.
	free []float64
}

// newCapacityTable returns an empty one in which each slot has room for some seconds of work.
func newCapacityTable(works []work, room float64) *capacityTable {
	t := &capacityTable{}
	for _, w := range works {
		t.intervals = max(t.intervals, w.to+1)
	}
	t.free = make([]float64, t.intervals*t.intervals)
	for from := range t.intervals {
		for to := from; to < t.intervals; to++ {
			t.free[from*t.intervals+to] = room * float64(to-from+1)
		}
	}
	return t
}

// reserve takes as much of some work as fits beside what has been taken, and returns that:
// the least that is free in any interval that the window lies in.
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
