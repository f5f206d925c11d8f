// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import "time"

// Parameters of the transit estimate.
const (
	// transitStep is how far one first event moves the estimate. A busy pool reaches a transit
	// of a few milliseconds within a fraction of a second.
	transitStep = 100 * time.Microsecond
	// maxTransit bounds the estimate. It is shorter than a pass of the engines, so that a slow
	// engine is not taken for a long transit.
	maxTransit = 50 * time.Millisecond
)

// transitEstimate estimates the time from a placement until the engine has the request, plus
// the time that the first event takes back. It follows the median of how much later than
// predicted first events come, by a fixed step for each event, so that a few very late events
// have little influence. The zero value is ready for use.
type transitEstimate struct {
	time time.Duration
}

// observe updates the estimate by how much later than predicted a first event came.
func (t *transitEstimate) observe(late time.Duration) {
	step := transitStep
	if late < 0 {
		step = -transitStep
	}
	t.time = min(max(t.time+step, 0), maxTransit)
}
