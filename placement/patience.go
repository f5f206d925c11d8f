// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import "time"

// A caller abandons a silent stream after the longest of three times: a fixed one, a multiple of
// its longest allowed pause and, until the first event has come, a multiple of its target time.
const (
	minPatience     = 2 * time.Second
	patienceTargets = 4
	patienceGaps    = 8
)

// Patience returns how long a caller waits during a silence before it gives up. Target is the
// time allowed for the first event, zero once that has come, and gap the longest allowed pause.
func Patience(target, gap time.Duration) time.Duration {
	return max(minPatience, patienceTargets*target, patienceGaps*gap)
}
