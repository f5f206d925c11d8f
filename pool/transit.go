// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import "time"

// Parameters of the transit estimate.
const (
	// transitStep is how far one first event moves the estimate. In a busy pool the estimate
	// reaches a few milliseconds within a fraction of a second.
	transitStep = 100 * time.Microsecond
	// maxTransit bounds the estimate. It is shorter than a pass of the engines, so that the
	// lateness of a slow engine is not taken for a long transit.
	maxTransit = 50 * time.Millisecond
)

// transitEstimate estimates the time from a placement until the engine has the request, plus the
// time that the first event takes back. It follows the median lateness of first events. Each event
// moves it by the same step, so that a few very late events have little influence. The zero value
// is ready for use.
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
