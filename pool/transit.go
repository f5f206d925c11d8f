// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import "time"

// The measures of learning how long requests are on their way.
const (
	// transitStep is how far one first event moves the estimate: some tens of them,
	// a tenth of a second of a busy pool, find a way of a few milliseconds.
	transitStep = 100 * time.Microsecond
	// maxTransit bounds the estimate: less than a pass of the engines, so that a slow
	// engine is not taken for a long way.
	maxTransit = 50 * time.Millisecond
)

// transitEstimate learns how long it takes from a decision until the engine has the request, with
// the time that its first event needs to come back: the way to the entry, a connection
// to the engine, and the request. It follows the median of how much later first events
// come than the model of the engines says, by a step for each event, so that events of
// engines that are late for other reasons don't count for more. The zero value is ready
// for use.
type transitEstimate struct {
	time time.Duration
}

// observe takes over how much later a first event came than predicted.
func (t *transitEstimate) observe(late time.Duration) {
	step := transitStep
	if late < 0 {
		step = -transitStep
	}
	t.time = min(max(t.time+step, 0), maxTransit)
}
