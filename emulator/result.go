// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package emulator

import (
	"cmp"
	"slices"
	"time"

	"github.com/linkmast/linkmast/pool"
)

// Fate is how a request ended.
type Fate int

// The fates.
const (
	// Served requests have a whole answer.
	Served Fate = iota
	// Refused ones were refused at their last try.
	Refused
	// Gone ones were left by their callers.
	Gone
	// Cut ones lost their entry and had no try left.
	Cut
)

// Cause is why a request kept less than its worth.
type Cause int

// The causes, of which the first that holds counts.
const (
	// Kept requests lost nothing.
	Kept Cause = iota
	// CauseRefused, CauseGone and CauseCut are fates.
	CauseRefused
	CauseGone
	CauseCut
	// CauseMoved requests went elsewhere after a silence.
	CauseMoved
	// CauseReturned ones were late as their callers had to come back.
	CauseReturned
	// CauseWaited ones were late after waiting for a place for a quarter of the target
	// or longer.
	CauseWaited
	// CauseFirst ones had a late first event, and CausePause a pause that was too long.
	CauseFirst
	CausePause
	causes
)

// String returns the name of the cause.
func (c Cause) String() string {
	names := [causes]string{"kept", "refused", "caller gone", "cut", "moved", "returned", "waited", "first late", "pause"}
	if c < 0 || c >= causes {
		return "unknown"
	}
	return names[c]
}

// Outcome is what became of a request.
type Outcome struct {
	// Kept is the worth that it kept.
	Kept float64
	// Cause is why that is not all.
	Cause Cause
	// First is the time to the first event from the first try; zero without one.
	First time.Duration
	// Pause is the longest pause between events.
	Pause time.Duration
	// Held is the longest wait for a place that ended with a refusal.
	Held time.Duration
}

// Result is what became of the requests of a play.
type Result struct {
	sheet    *Sheet
	requests []Request
	// Outcomes are in the order of the requests.
	Outcomes []Outcome
	// Predictions tells how well first events were predicted.
	Predictions pool.Stats
	// Silent counts the attempts that ended for silence.
	Silent int
}

// waitedShare is the part of its target that a late request waited for it to count as late
// for waiting.
const waitedShare = 0.25

// result judges all requests.
func (p *play) result() *Result {
	r := &Result{
		sheet:       p.sheet,
		Silent:      p.silent,
		Predictions: p.pool.Stats()[service],
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
		Pause: c.gap,
		Held:  c.held,
	}
	if c.events > 0 {
		o.First = c.first.Sub(c.began)
	}
	target := time.Duration(c.kind.Target)
	late := o.First > target
	switch {
	case !c.done || c.fate == Gone:
		o.Cause = CauseGone
		return o
	case c.fate == Refused:
		o.Cause = CauseRefused
		return o
	case c.fate == Cut:
		o.Cause = CauseCut
		return o
	case !late && (c.kind.Gap == 0 || c.gap <= time.Duration(c.kind.Gap)):
		o.Kept = c.request.Worth
		return o
	}
	o.Kept = c.request.Late
	switch {
	case c.moved:
		o.Cause = CauseMoved
	case c.tries > 1:
		o.Cause = CauseReturned
	case late && c.waited > time.Duration(waitedShare*float64(target)):
		o.Cause = CauseWaited
	case late:
		o.Cause = CauseFirst
	default:
		o.Cause = CausePause
	}
	return o
}

// share returns the part of the worth that the requests keep for which take holds; one
// without any.
func (r *Result) share(take func(*Request) bool) float64 {
	kept, all := 0.0, 0.0
	for i := range r.requests {
		if q := &r.requests[i]; take(q) {
			kept += r.Outcomes[i].Kept
			all += q.Worth
		}
	}
	if all == 0 {
		return 1
	}
	return kept / all
}

// Day returns the part of the worth that all requests keep.
func (r *Result) Day() float64 {
	return r.share(func(*Request) bool { return true })
}

// Kind returns the part of the worth that the requests of a kind keep.
func (r *Result) Kind(kind int) float64 {
	return r.share(func(q *Request) bool { return q.Kind == kind })
}

// Window is the length of the windows of which the two worst count.
const Window = 2 * time.Second

// Windows returns the part of the worth that is kept by the requests that came in each
// window.
func (r *Result) Windows() []float64 {
	n := int((time.Duration(r.sheet.Length) + Window - 1) / Window)
	out := make([]float64, n)
	for i := range out {
		out[i] = r.share(func(q *Request) bool { return int(q.At/Window) == i })
	}
	return out
}

// Figure returns the figure of the day: the parts by the weights of the sheet.
func (r *Result) Figure() float64 {
	w := r.sheet.Weights
	windows := r.Windows()
	slices.SortFunc(windows, cmp.Compare[float64])
	worst := windows[:min(2, len(windows))]
	sum := 0.0
	for _, v := range worst {
		sum += v / float64(len(worst))
	}
	kind := 1.0
	for i := range r.sheet.Kinds {
		kind = min(kind, r.Kind(i))
	}
	return (w.Day*r.Day() + w.Windows*sum + w.Kind*kind) / (w.Day + w.Windows + w.Kind)
}

// Lost returns, for each kind, the part of the worth of the whole day that it loses by
// each cause.
func (r *Result) Lost() [][]float64 {
	out := make([][]float64, len(r.sheet.Kinds))
	for i := range out {
		out[i] = make([]float64, causes)
	}
	all := 0.0
	for i := range r.requests {
		q, o := &r.requests[i], &r.Outcomes[i]
		all += q.Worth
		out[q.Kind][o.Cause] += q.Worth - o.Kept
	}
	for _, row := range out {
		for c := range row {
			row[c] /= max(all, 1)
		}
	}
	return out
}
