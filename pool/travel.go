// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import "time"

// The measures of learning how long requests are on their way.
const (
	// travelStep is how far one first event moves the estimate: some tens of them,
	// a tenth of a second of a busy pool, find a way of a few milliseconds.
	travelStep = 100 * time.Microsecond
	// travelMost bounds the estimate: less than a pass of the engines, so that a slow
	// engine is not taken for a long way.
	travelMost = 50 * time.Millisecond
)

// travel learns how long it takes from a decision until the engine has the request, with
// the time that its first event needs to come back: the way to the entry, a connection
// to the engine, and the request. It follows the median of how much later first events
// come than the model of the engines says, by a step for each event, so that events of
// engines that are late for other reasons don't count for more. The zero value is ready
// for use.
type travel struct {
	length time.Duration
}

// note takes over how much later a first event came than predicted.
func (t *travel) note(late time.Duration) {
	step := travelStep
	if late < 0 {
		step = -travelStep
	}
	t.length = min(max(t.length+step, 0), travelMost)
}
