// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"slices"
	"time"
)

// Parameters for detecting slow plain endpoints.
const (
	// plainLatencyWeight is the weight of the latest request in the moving average of an
	// endpoint's latency.
	plainLatencyWeight = 0.3
	// plainSlowThreshold is the least ratio of a slow endpoint's latency to the median. Lower
	// ratios may be due to different kinds of requests.
	plainSlowThreshold = 2
	// maxPlainSlowdown bounds the ratio of a slow endpoint's latency to the median. An idle slow
	// endpoint thus gets a request at the latest when each of the others has about maxPlainSlowdown
	// requests.
	maxPlainSlowdown = 8
	// minPlainEndpoints is how many endpoints must have a recent latency for a comparison.
	minPlainEndpoints = 2
	// plainLatencyLifetime is how long a latency holds without new requests. The endpoint then
	// counts as normal and gets requests again.
	plainLatencyLifetime = 5 * time.Second
)

// plainLatency is the moving average of the time to the first event at a plain endpoint, and
// the time of its last update.
type plainLatency struct {
	mean time.Duration
	at   time.Time
}

// recordPlainLatency updates the latency of a plain endpoint by the first event of an attempt.
func (p *poolState) recordPlainLatency(at *attempt, now time.Time) {
	r := &p.slowdowns.record(at.endpoint).plain
	took := now.Sub(at.placedAt)
	if r.mean == 0 || now.Sub(r.at) > plainLatencyLifetime {
		r.mean = took
	}
	r.mean += time.Duration(plainLatencyWeight * float64(took-r.mean))
	r.at = now
}

// plainSlowdowns returns the ratio of the latency to the median, at most maxPlainSlowdown, for each
// plain endpoint that is slow, by the endpoint's name.
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

// isFresh reports whether the latency has been updated within plainLatencyLifetime.
func (r *plainLatency) isFresh(now time.Time) bool {
	return r.mean > 0 && now.Sub(r.at) <= plainLatencyLifetime
}
