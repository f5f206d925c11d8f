// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"expvar"
	"strconv"
	"time"
)

// Metrics holds the relay's counters and histograms.
type Metrics struct {
	// Vars holds all counters and histograms by name.
	Vars *expvar.Map

	// first observes the times from the arrival of requests to the first events of their
	// streams, and whole those to the ends of complete answers.
	first *histogram
	whole *histogram
}

// newMetrics returns metrics with all counts at zero.
func newMetrics() *Metrics {
	m := &Metrics{
		Vars:  new(expvar.Map).Init(),
		first: newHistogram(),
		whole: newHistogram(),
	}
	m.Vars.Set("first_event_ms", m.first.vars)
	m.Vars.Set("answer_ms", m.whole.vars)
	return m
}

// add increments the counter of a name.
func (m *Metrics) add(name string) {
	m.Vars.Add(name, 1)
}

// refused counts a refusal by its status.
func (m *Metrics) refused(status int) {
	m.Vars.Add("refused_"+strconv.Itoa(status), 1)
}

// bounds are the upper bounds of a histogram's buckets, in milliseconds.
var bounds = [...]int64{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 20000}

// histogram counts durations, rounded down to milliseconds, in buckets. The counts are not
// cumulative: each covers the durations above the previous bound up to its own.
type histogram struct {
	vars *expvar.Map
}

// newHistogram returns an empty histogram.
func newHistogram() *histogram {
	return &histogram{
		vars: new(expvar.Map).Init(),
	}
}

// observe counts a duration in its bucket.
func (h *histogram) observe(d time.Duration) {
	ms := d.Milliseconds()
	for _, b := range bounds {
		if ms <= b {
			h.vars.Add("le_"+strconv.FormatInt(b, 10), 1)
			return
		}
	}
	h.vars.Add("more", 1)
}
