// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package emulator

import (
	"cmp"
	"slices"
	"time"

	"github.com/linkmast/linkmast/pool"
)

// Ending is how a request ended.
type Ending int

// The possible endings.
const (
	// Served means that the caller received the whole answer.
	Served Ending = iota
	// Refused means that the last try was refused.
	Refused
	// Abandoned means that the caller gave up or reached its deadline.
	Abandoned
	// EntryLost means that the entry instance failed during or after the last try.
	EntryLost
)

// Cause is why a request kept less than its worth.
type Cause int

// The causes. If several apply, the first one counts.
const (
	// CauseNone means that the request kept all its worth.
	CauseNone Cause = iota
	// CauseRefused, CauseAbandoned and CauseEntryLost mean that the request ended as Refused,
	// Abandoned or EntryLost, and kept nothing of its worth. CauseAbandoned also covers requests
	// that had not ended when the play did.
	CauseRefused
	CauseAbandoned
	CauseEntryLost
	// CauseMigrated means an answer that was not in time after a silent attempt had been
	// replaced.
	CauseMigrated
	// CauseRetried means an answer that was not in time after the caller had sent the
	// request again.
	CauseRetried
	// CauseQueued means a late first event after the request was queued for more than a
	// quarter of its target.
	CauseQueued
	// CauseLateFirstEvent means any other late first event, and CauseLongPause a pause
	// between events that was too long.
	CauseLateFirstEvent
	CauseLongPause
	causeCount
)

// String returns the name of the cause.
func (c Cause) String() string {
	names := [causeCount]string{"kept", "refused", "caller gone", "cut", "moved", "returned", "waited", "first late", "pause"}
	if c < 0 || c >= causeCount {
		return "unknown"
	}
	return names[c]
}

// Outcome is what happened to a request.
type Outcome struct {
	// Worth is the part of the request's worth that it kept.
	Worth float64
	// Cause is why the request kept less than its worth.
	Cause Cause
	// FirstEvent is the time from the first try to the first event; zero without one.
	FirstEvent time.Duration
	// LongestPause is the longest pause between two events. A pause during which the caller sent
	// the request again counts from the start of that try.
	LongestPause time.Duration
	// LongestRefusedWait is the longest time from sending the request to a refusal.
	LongestRefusedWait time.Duration
}

// Result holds the outcomes of the requests of one play.
type Result struct {
	sheet    *Sheet
	requests []Request
	// Outcomes are in the order of the requests.
	Outcomes []Outcome
	// Predictions are the pool's statistics at the end, which count the predictions of
	// first events.
	Predictions pool.Stats
	// SilentAttempts is the number of attempts that were replaced because they were silent.
	SilentAttempts int
}

// queuedShare is the share of the target that the queueing time of a late request must exceed
// for its cause to be CauseQueued.
const queuedShare = 0.25

// result returns the outcomes of all requests.
func (p *play) result() *Result {
	r := &Result{
		sheet:          p.sheet,
		SilentAttempts: p.silentAttempts,
		Predictions:    p.pool.Stats()[service],
	}
	for _, c := range p.callers {
		r.requests = append(r.requests, *c.request)
		r.Outcomes = append(r.Outcomes, c.outcome())
	}
	return r
}

// outcome returns what the request kept and why it did not keep more.
func (c *caller) outcome() Outcome {
	o := Outcome{
		LongestPause:       c.longestGap,
		LongestRefusedWait: c.longestRefusedWait,
	}
	if c.events > 0 {
		o.FirstEvent = c.firstEventAt.Sub(c.startedAt)
	}
	target := time.Duration(c.kind.Target)
	late := o.FirstEvent > target
	switch {
	case !c.done || c.ending == Abandoned:
		o.Cause = CauseAbandoned
		return o
	case c.ending == Refused:
		o.Cause = CauseRefused
		return o
	case c.ending == EntryLost:
		o.Cause = CauseEntryLost
		return o
	case !late && (c.kind.Gap == 0 || c.longestGap <= time.Duration(c.kind.Gap)):
		o.Worth = c.request.Worth
		return o
	}
	o.Worth = c.request.LateWorth
	switch {
	case c.migrated:
		o.Cause = CauseMigrated
	case c.tries > 1:
		o.Cause = CauseRetried
	case late && c.longestWait > time.Duration(queuedShare*float64(target)):
		o.Cause = CauseQueued
	case late:
		o.Cause = CauseLateFirstEvent
	default:
		o.Cause = CauseLongPause
	}
	return o
}

// keptShare returns the kept share of the worth of the requests that include selects, and 1 if it
// selects none.
func (r *Result) keptShare(include func(*Request) bool) float64 {
	kept, all := 0.0, 0.0
	for i := range r.requests {
		if q := &r.requests[i]; include(q) {
			kept += r.Outcomes[i].Worth
			all += q.Worth
		}
	}
	if all == 0 {
		return 1
	}
	return kept / all
}

// DayShare returns the kept share of the worth of all requests.
func (r *Result) DayShare() float64 {
	return r.keptShare(func(*Request) bool { return true })
}

// KindShare returns the kept share of the worth of the requests of a kind, and 1 if there are
// none.
func (r *Result) KindShare(kind int) float64 {
	return r.keptShare(func(q *Request) bool { return q.Kind == kind })
}

// Window is the length of the periods that WindowShares returns.
const Window = 2 * time.Second

// WindowShares returns, for each period of length Window, the kept share of the worth of the
// requests that arrived in it, and 1 for a period without requests.
func (r *Result) WindowShares() []float64 {
	n := int((time.Duration(r.sheet.Length) + Window - 1) / Window)
	out := make([]float64, n)
	for i := range out {
		out[i] = r.keptShare(func(q *Request) bool { return int(q.At/Window) == i })
	}
	return out
}

// Score returns the weighted mean of three shares of kept worth: the share of all requests, the
// mean share of the two worst windows, and the share of the worst kind. The weights are those of
// the sheet.
func (r *Result) Score() float64 {
	w := r.sheet.Weights
	windows := r.WindowShares()
	slices.SortFunc(windows, cmp.Compare[float64])
	worst := windows[:min(2, len(windows))]
	sum := 0.0
	for _, v := range worst {
		sum += v / float64(len(worst))
	}
	kind := 1.0
	for i := range r.sheet.Kinds {
		kind = min(kind, r.KindShare(i))
	}
	return (w.Day*r.DayShare() + w.Windows*sum + w.Kind*kind) / (w.Day + w.Windows + w.Kind)
}

// LostShares returns, by kind and cause, the lost worth divided by the larger of 1 and the worth
// of all requests.
func (r *Result) LostShares() [][]float64 {
	out := make([][]float64, len(r.sheet.Kinds))
	for i := range out {
		out[i] = make([]float64, causeCount)
	}
	all := 0.0
	for i := range r.requests {
		q, o := &r.requests[i], &r.Outcomes[i]
		all += q.Worth
		out[q.Kind][o.Cause] += q.Worth - o.Worth
	}
	for _, row := range out {
		for c := range row {
			row[c] /= max(all, 1)
		}
	}
	return out
}
