// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import "time"

// The measures of noticing a silent endpoint.
const (
	// minSilence is the shortest silence that counts: longer than passes that
	// read a long prompt usually take, and early enough for another endpoint to
	// go on before callers give up, after two seconds.
	minSilence = 1300 * time.Millisecond
	// gapSilence is how many of the longest pauses in time a silence lasts
	// before it counts. Callers give up after eight.
	gapSilence = 4
	// firstFactor times the predicted time and firstSilence is how long the
	// first event may take.
	firstFactor  = 2
	firstSilence = 700 * time.Millisecond
)

// ReplaceWithin bounds the search for a place that replaces a silent endpoint. Longer
// than that and the silent endpoint may as well be waited for.
const ReplaceWithin = 300 * time.Millisecond

// Silence returns how long a stream may be silent before another place is looked for,
// and how long until its first event, by its longest pause in time and its prediction.
func Silence(gap, predicted time.Duration) (silence, first time.Duration) {
	silence = max(minSilence, gapSilence*gap)
	return silence, max(silence, firstFactor*predicted+firstSilence)
}
