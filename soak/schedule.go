// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Fault describes one fault of a schedule: its time, its kind and what it affects.
type Fault struct {
	// At is when the fault begins, relative to the start of the schedule.
	At time.Duration
	// For is how long the fault lasts.
	For time.Duration
	// Kind is the kind of the fault: a name from kinds, a key of statementFaults,
	// truncationFaults or partitionFaults, saysLeaving or storeRestored.
	Kind string
	// Target is an index that selects the process, endpoint, failure domain or route that the
	// fault affects, modulo their number.
	Target int
}

// String formats the fault as one line.
func (s Fault) String() string {
	return fmt.Sprintf("%6.2fs %s %d for %s", s.At.Seconds(), s.Kind, s.Target, s.For)
}

// kinds lists the faults with their relative frequencies.
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

// endpointsSilent discards all further data of the open connections to an endpoint.
const endpointsSilent = "endpoint connections silent"

// Draw returns the schedule of a seed. The times between the beginnings of faults are
// exponentially distributed, so faults may overlap.
func Draw(seed uint64, length time.Duration, processes int) []Fault {
	r := rand.New(rand.NewPCG(seed, 1))
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	var out []Fault
	for at := firstFault; at < length; at += time.Duration(r.ExpFloat64() * float64(meanPause)) {
		kind := kindAt(r.IntN(total))
		out = append(out, Fault{
			At:     at,
			For:    time.Duration(minDurationMS+r.IntN(durationSpreadMS)) * time.Millisecond,
			Kind:   kind,
			Target: r.IntN(max(processes, engines+services)),
		})
	}
	return out
}

// kindAt returns the kind whose interval of cumulative weights contains n.
func kindAt(n int) string {
	for _, k := range kinds {
		if n < k.weight {
			return k.name
		}
		n -= k.weight
	}
	return ""
}

// Parameters of a schedule.
const (
	// firstFault is when the first fault begins, after the load has started.
	firstFault = 500 * time.Millisecond
	// meanPause is the mean time between the beginnings of two faults.
	meanPause = time.Second
	// minDurationMS is the shortest duration of a fault and durationSpreadMS the range above
	// it, in ms. Some faults end before any timeout expires, others outlast most timeouts.
	minDurationMS    = 300
	durationSpreadMS = 4500
)
