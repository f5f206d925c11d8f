// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import "time"

// Callers give a stream up after a silence of the longest of these: a time, so many targets
// for the first event until it has come, or so many of the longest pauses in time.
const (
	minPatience     = 2 * time.Second
	patienceTargets = 4
	patienceGaps    = 8
)

// Patience returns how long a caller waits in silence before it leaves, by its target for
// the first event, zero once that has come, and its longest pause in time.
func Patience(target, gap time.Duration) time.Duration {
	return max(minPatience, patienceTargets*target, patienceGaps*gap)
}
