// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"time"
)

// The measures of setting endpoints aside.
const (
	// firstAside is how long an endpoint rests after it failed; it doubles
	// with each further failure up to lastAside. A second is what a restarted
	// engine needs at the least.
	firstAside = 700 * time.Millisecond
	lastAside  = 3 * time.Second
	// rejectAside is how long a full endpoint rests.
	rejectAside = 60 * time.Millisecond
	// misplacedAside is how long an address rests that another endpoint has:
	// until the list of endpoints has caught up.
	misplacedAside = 5 * time.Second
	// failuresTolerated is how many failures in a row are put down to requests.
	failuresTolerated = 2
)

// health is what requests showed of an endpoint.
type health struct {
	failures int
	until    time.Time
	// probing states that one request tries an endpoint that was set aside.
	probing bool
	// rate is the recent part of failed requests.
	rate float64
}

// rateWeight is the weight of one more outcome in an endpoint's failure rate.
const rateWeight = 0.1

// note takes over an outcome. It returns true when the endpoint was set aside.
func (h *health) note(o Outcome, now time.Time) bool {
	h.probing = false
	failed := 1.0
	if o == Served || o == Abandoned {
		failed = 0
	}
	if o != Abandoned {
		h.rate += rateWeight * (failed - h.rate)
	}
	switch o {
	case Served:
		h.failures = 0
		h.until = time.Time{}
		return false
	case Abandoned:
		return false
	case Rejected:
		h.until = later(h.until, now.Add(rejectAside))
		return false
	case Misplaced:
		h.until = later(h.until, now.Add(misplacedAside))
		return true
	case Unreachable, Silent:
		h.failures = max(h.failures+1, failuresTolerated+1)
	case Failed:
		h.failures++
	}
	if h.failures <= failuresTolerated {
		return false
	}
	rest := min(firstAside<<min(h.failures-failuresTolerated-1, 4), lastAside)
	h.until = later(h.until, now.Add(rest))
	return true
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// usable states whether the endpoint may get a request.
func (h *health) usable(now time.Time) bool {
	if now.Before(h.until) {
		return false
	}
	return h.failures <= failuresTolerated || !h.probing
}
