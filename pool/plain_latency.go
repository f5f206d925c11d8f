// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"slices"
	"time"
)

// The measures of slow plain endpoints.
const (
	// plainLatencyWeight is the weight of one more request in the mean time that an endpoint
	// takes: the last three count for two thirds.
	plainLatencyWeight = 0.3
	// plainSlowThreshold is how many times as long as the median endpoint one takes that counts as
	// slow: less than that, kinds of requests differ as much.
	plainSlowThreshold = 2
	// maxPlainSlowdown bounds how much slower an endpoint counts, so that it gets a request when
	// its equals have that many.
	maxPlainSlowdown = 8
	// minPlainEndpoints is how many endpoints must be known for one of them to be slow beside the
	// others.
	minPlainEndpoints = 2
	// plainLatencyLifetime is how long requests tell of an endpoint that gets no others; then it is
	// tried again.
	plainLatencyLifetime = 5 * time.Second
)

// plainLatency is how long requests take at a plain endpoint.
type plainLatency struct {
	mean time.Duration
	at   time.Time
}

// recordPlainLatency takes over the first sign of an answer of a plain endpoint.
func (p *poolState) recordPlainLatency(at *attempt, now time.Time) {
	r := &p.slowdowns.record(at.instance).plain
	took := now.Sub(at.placedAt)
	if r.mean == 0 || now.Sub(r.at) > plainLatencyLifetime {
		r.mean = took
	}
	r.mean += time.Duration(plainLatencyWeight * float64(took-r.mean))
	r.at = now
}

// plainSlowdowns returns how many times as long as at the median one requests take at the plain
// endpoints that are slow; the others have none.
func (p *poolState) plainSlowdowns(now time.Time) map[string]float64 {
	var all []time.Duration
	for _, r := range p.slowdowns.records {
		if r.plain.isFresh(now) {
			all = append(all, r.plain.mean)
		}
	}
	if len(all) < minPlainEndpoints {
		return nil
	}
	slices.Sort(all)
	median := all[(len(all)-1)/2]
	var out map[string]float64
	for name, r := range p.slowdowns.records {
		if !r.plain.isFresh(now) || r.plain.mean < plainSlowThreshold*median {
			continue
		}
		if out == nil {
			out = make(map[string]float64)
		}
		out[name] = min(float64(r.plain.mean)/float64(max(median, 1)), maxPlainSlowdown)
	}
	return out
}

// isFresh states whether requests told of the endpoint of late.
func (r *plainLatency) isFresh(now time.Time) bool {
	return r.mean > 0 && now.Sub(r.at) <= plainLatencyLifetime
}
