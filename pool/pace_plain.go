// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"slices"
	"time"
)

// The measures of slow plain endpoints.
const (
	// plainWeight is the weight of one more request in the mean time that an endpoint
	// takes: the last three count for two thirds.
	plainWeight = 0.3
	// plainSlow is how many times as long as the median endpoint one takes that counts as
	// slow: less than that, kinds of requests differ as much.
	plainSlow = 2
	// plainMost bounds how much slower an endpoint counts, so that it gets a request when
	// its equals have that many.
	plainMost = 8
	// plainLeast is how many endpoints must be known for one of them to be slow beside the
	// others.
	plainLeast = 2
	// plainFor is how long requests tell of an endpoint that gets no others; then it is
	// tried again.
	plainFor = 5 * time.Second
)

// plainPace is how long requests take at a plain endpoint.
type plainPace struct {
	mean time.Duration
	at   time.Time
}

// notePlain takes over the first sign of an answer of a plain endpoint.
func (p *state) notePlain(at *placed, now time.Time) {
	r := &p.paces.record(at.instance).plain
	took := now.Sub(at.at)
	if r.mean == 0 || now.Sub(r.at) > plainFor {
		r.mean = took
	}
	r.mean += time.Duration(plainWeight * float64(took-r.mean))
	r.at = now
}

// plainPaces returns how many times as long as at the median one requests take at the plain
// endpoints that are slow; the others have none.
func (p *state) plainPaces(now time.Time) map[string]float64 {
	var all []time.Duration
	for _, r := range p.paces.of {
		if r.plain.knows(now) {
			all = append(all, r.plain.mean)
		}
	}
	if len(all) < plainLeast {
		return nil
	}
	slices.Sort(all)
	median := all[(len(all)-1)/2]
	var out map[string]float64
	for name, r := range p.paces.of {
		if !r.plain.knows(now) || r.plain.mean < plainSlow*median {
			continue
		}
		if out == nil {
			out = make(map[string]float64)
		}
		out[name] = min(float64(r.plain.mean)/float64(max(median, 1)), plainMost)
	}
	return out
}

// knows states whether requests told of the endpoint of late.
func (r *plainPace) knows(now time.Time) bool {
	return r.mean > 0 && now.Sub(r.at) <= plainFor
}
