// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Step is one fault of a schedule.
type Step struct {
	// At is when it begins, from the start.
	At time.Duration
	// For is how long it lasts.
	For time.Duration
	// Kind names the fault.
	Kind string
	// Target is the number of the process or endpoint.
	Target int
}

// String returns the step in a line.
func (s Step) String() string {
	return fmt.Sprintf("%6.2fs %s %d for %s", s.At.Seconds(), s.Kind, s.Target, s.For)
}

// kinds are the faults with how often each is drawn.
var kinds = [...]struct {
	name   string
	weight int
}{
	{"term", 3}, {"kill", 2}, {"freeze", 2}, {"hangup", 2},
	{"store refuses", 1}, {"store silent", 1}, {"store slow", 1}, {"store loses writes", 1}, {"store forgets", 1},
	{"store link silent", 1}, {"store link one way", 1}, {"store link reset", 1},
	{"endpoint rejects", 1}, {"endpoint fails", 1}, {"endpoint cuts streams", 2}, {"endpoint silent", 1},
	{"endpoint loses answers", 2}, {"endpoint link slow", 1}, {"endpoint link reset", 1}, {"endpoint link one way", 1},
	{"endpoint slow", 1}, {"endpoint leaves", 2}, {"key taken away", 3},
	{"store connections silent", 2}, {endpointsSilent, 2}, {"all lost in an outage", 1},
	{"domain emptied", 2}, {"endpoint starts again", 2}, {requestCrashes, 2},
}

// endpointsSilent lets the open connections to an endpoint go silent for good.
const endpointsSilent = "endpoint connections silent"

// Draw returns the schedule of a seed: faults that come every second or so for a
// time, some of them together.
func Draw(seed uint64, length time.Duration, processes int) []Step {
	r := rand.New(rand.NewPCG(seed, 1))
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	var out []Step
	for at := firstStep; at < length; at += time.Duration(r.ExpFloat64() * float64(meanPause)) {
		kind := kindAt(r.IntN(total))
		out = append(out, Step{
			At:     at,
			For:    time.Duration(minDurationMS+r.IntN(durationSpreadMS)) * time.Millisecond,
			Kind:   kind,
			Target: r.IntN(max(processes, engines+services)),
		})
	}
	return out
}

// kindAt returns the kind in whose share of the weights a number lies.
func kindAt(n int) string {
	for _, k := range kinds {
		if n < k.weight {
			return k.name
		}
		n -= k.weight
	}
	return ""
}

// The measures of a schedule.
const (
	// firstStep is when the first fault comes: once the load has begun.
	firstStep = 500 * time.Millisecond
	// meanPause is the mean pause between the beginnings of faults.
	meanPause = time.Second
	// minDurationMS is how long a fault lasts at the least, and spreadMS how much
	// longer it may last, both in ms: some end before any time-out, others
	// outlast most, and they overlap.
	minDurationMS    = 300
	durationSpreadMS = 4500
)
