// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package emulator

import (
	"cmp"
	"slices"
	"time"

	"github.com/linkmast/linkmast/batch"
)

// boundSlot is the grain of time of a bound. Windows are rounded outwards to it, so a
// coarser one gives a higher bound.
const boundSlot = 100 * time.Millisecond

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
		kept[i] = r.Late
		works = append(works, s.worksOf(i, r, model)...)
	}
	slices.SortStableFunc(works, func(a, b work) int { return cmp.Compare(b.perSecond, a.perSecond) })
	t := newTimetable(works, float64(s.Engines.Count)*boundSlot.Seconds())
	for _, w := range works {
		kept[w.request] += t.take(w) * w.perSecond
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
			Kept: kept,
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
	amount    float64
	perSecond float64
}

// worksOf returns the reading and the writing of a request.
func (s *Sheet) worksOf(i int, r *Request, m *batch.Model) []work {
	k := &s.Kinds[r.Kind]
	read := m.PrefillTime(r.Prompt, 1)
	write := time.Duration(r.Events-1) * m.PassTime(m.Slots, 0) / time.Duration(m.Slots)
	due := r.At + time.Duration(k.Target)
	last := min(due+time.Duration(r.Events-1)*time.Duration(k.Gap), r.At+time.Duration(k.Deadline))
	perSecond := (r.Worth - r.Late) / (read + write).Seconds()
	return []work{
		{
			request:   i,
			from:      int(r.At / boundSlot),
			to:        int(due / boundSlot),
			amount:    read.Seconds(),
			perSecond: perSecond,
		},
		{
			request:   i,
			from:      int(r.At / boundSlot),
			to:        int(last / boundSlot),
			amount:    write.Seconds(),
			perSecond: perSecond,
		},
	}
}

// timetable holds how much work has been taken.
type timetable struct {
	slots int
	// free is what is left of each interval of slots after the work within it, in
	// seconds, by its first and last slot.
	free []float64
}

// newTimetable returns an empty one in which each slot has room for some seconds of work.
func newTimetable(works []work, room float64) *timetable {
	t := &timetable{}
	for _, w := range works {
		t.slots = max(t.slots, w.to+1)
	}
	t.free = make([]float64, t.slots*t.slots)
	for from := range t.slots {
		for to := from; to < t.slots; to++ {
			t.free[from*t.slots+to] = room * float64(to-from+1)
		}
	}
	return t
}

// take takes as much of some work as fits beside what has been taken, and returns that:
// the least that is free in any interval that the window lies in.
func (t *timetable) take(w work) float64 {
	fits := w.amount
	for from := range w.from + 1 {
		for _, free := range t.free[from*t.slots+w.to : (from+1)*t.slots] {
			fits = min(fits, free)
		}
	}
	if fits <= 0 {
		return 0
	}
	for from := range w.from + 1 {
		row := t.free[from*t.slots+w.to : (from+1)*t.slots]
		for i := range row {
			row[i] -= fits
		}
	}
	return fits
}
