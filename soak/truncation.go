// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/linkmast/linkmast/platform/platformtest"
)

// cutBytes is the number of bytes of an event after which an endpoint ends a stream inside it.
const cutBytes = 9

// truncationFaults maps kinds of faults to the settings of a stand-in endpoint that make its answers end
// in an unusual way.
var truncationFaults = map[string]platformtest.EndpointFaults{
	"endpoint sends unframed answers": {Unframed: true},
	"endpoint closes unframed answers inside an event": {
		Unframed: true,
		Cut: &platformtest.Cut{
			AfterEvents: cutAfter,
			Bytes:       cutBytes,
		},
	},
	"endpoint closes unframed answers inside the first event": {
		Unframed: true,
		Cut: &platformtest.Cut{
			Bytes: -1,
		},
	},
	"endpoint resets unframed answers": {
		Unframed: true,
		Cut: &platformtest.Cut{
			AfterEvents: cutAfter,
			End:         platformtest.CutReset,
		},
	},
	"endpoint ends chunks inside an event": {
		Cut: &platformtest.Cut{
			AfterEvents: cutAfter,
			Bytes:       cutBytes,
			End:         platformtest.CutFramed,
		},
	},
	unframedCrash: {
		Unframed:         true,
		CrashAfterEvents: cutAfter,
	},
}

// unframedCrash makes an endpoint send unframed answers and crash in the middle of one, while a request
// crashes endpoints.
const unframedCrash = "endpoint crashes during an unframed answer"

// truncationPause is the mean time between two faults that DrawTruncations draws.
const truncationPause = time.Second

// truncationStream distinguishes the random numbers of DrawTruncations from those of other schedules.
const truncationStream = 4

// DrawTruncations returns the faults of a seed that make answers end in an unusual way. It does not
// depend on the schedule of Draw.
func DrawTruncations(seed uint64, length time.Duration) []Fault {
	kinds := slices.Sorted(maps.Keys(truncationFaults))
	r := rand.New(rand.NewPCG(seed, truncationStream))
	var out []Fault
	for at := firstFault; at < length; at += time.Duration(r.ExpFloat64() * float64(truncationPause)) {
		out = append(out, Fault{
			At:     at,
			For:    time.Duration(minDurationMS+r.IntN(durationSpreadMS)) * time.Millisecond,
			Kind:   kinds[r.IntN(len(kinds))],
			Target: r.IntN(engines + services),
		})
	}
	return out
}

// truncate plays a fault of truncationFaults at an endpoint.
func (d *Deployment) truncate(s Fault, e *endpoint, f platformtest.EndpointFaults) {
	e.setFaults(f)
	if s.Kind == unframedCrash {
		d.sendCrashing(s)
	} else {
		time.Sleep(s.For)
	}
	e.setFaults(platformtest.EndpointFaults{})
}
