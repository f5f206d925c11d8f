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

// The fates.
const (
	// Served requests have a whole answer.
	Served Ending = iota
	// Refused ones were refused at their last try.
	Refused
	// Abandoned ones were left by their callers.
	Abandoned
	// EntryLost ones lost their entry and had no try left.
	EntryLost
)

// Cause is why a request kept less than its worth.
type Cause int

// The causeCount, of which the first that holds counts.
const (
	// CauseNone requests lost nothing.
	CauseNone Cause = iota
	// CauseRefused, CauseGone and CauseCut are fates.
	CauseRefused
	CauseAbandoned
	CauseEntryLost
	// CauseMigrated requests went elsewhere after a silence.
	CauseMigrated
	// CauseRetried ones were late as their callers had to come back.
	CauseRetried
	// CauseQueued ones were late after waiting for a place for a quarter of the target
	// or longer.
	CauseQueued
	// CauseLateFirstEvent ones had a late first event, and CausePause a pause that was too long.
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

// Outcome is what became of a request.
type Outcome struct {
	// Worth is the worth that it kept.
	Worth float64
	// Cause is why that is not all.
	Cause Cause
	// FirstEvent is the time to the first event from the first try; zero without one.
	FirstEvent time.Duration
	// LongestPause is the longest pause between events.
	LongestPause time.Duration
	// LongestRefusedWait is the longest wait for a place that ended with a refusal.
	LongestRefusedWait time.Duration
}

// Result is what became of the requests of a play.
type Result struct {
	sheet    *Sheet
	requests []Request
	// Outcomes are in the order of the requests.
	Outcomes []Outcome
	// Predictions tells how well first events were predicted.
	Predictions pool.Stats
	// SilentAttempts counts the attempts that ended for silence.
	SilentAttempts int
}

// queuedShare is the part of its target that a late request waited for it to count as late
// for waiting.
const queuedShare = 0.25

// result judges all requests.
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

// outcome judges a request.
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

// keptShare returns the part of the worth that the requests keep for which take holds; one
// without any.
func (r *Result) keptShare(take func(*Request) bool) float64 {
	kept, all := 0.0, 0.0
	for i := range r.requests {
		if q := &r.requests[i]; take(q) {
			kept += r.Outcomes[i].Worth
			all += q.Worth
		}
	}
	if all == 0 {
		return 1
	}
	return kept / all
}

// DayShare returns the part of the worth that all requests keep.
func (r *Result) DayShare() float64 {
	return r.keptShare(func(*Request) bool { return true })
}

// KindShare returns the part of the worth that the requests of a kind keep.
func (r *Result) KindShare(kind int) float64 {
	return r.keptShare(func(q *Request) bool { return q.Kind == kind })
}

// Window is the length of the windows of which the two worst count.
const Window = 2 * time.Second

// WindowShares returns the part of the worth that is kept by the requests that came in each
// window.
func (r *Result) WindowShares() []float64 {
	n := int((time.Duration(r.sheet.Length) + Window - 1) / Window)
	out := make([]float64, n)
	for i := range out {
		out[i] = r.keptShare(func(q *Request) bool { return int(q.At/Window) == i })
	}
	return out
}

// Score returns the figure of the day: the parts by the weights of the sheet.
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

// LostShares returns, for each kind, the part of the worth of the whole day that it loses by
// each cause.
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
