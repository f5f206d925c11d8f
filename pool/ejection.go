// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"time"
)

// The measures of setting endpoints aside.
const (
	// minEjection is how long an endpoint rests after it failed; it doubles
	// with each further failure.
	minEjection = 700 * time.Millisecond
	// maxEjection is the longest rest: restarted engines are back after some
	// seconds.
	maxEjection = 3 * time.Second
	// maxDoublings keeps the doubling from overflowing; lastAside is reached
	// before.
	maxDoublings = 4
	// rejectedEjection is how long a full endpoint rests.
	rejectedEjection = 60 * time.Millisecond
	// misplacedEjection is how long an address rests that another endpoint has:
	// until the list of endpoints has caught up.
	misplacedEjection = 5 * time.Second
	// toleratedFailures is how many failures in a row are put down to requests.
	toleratedFailures = 2
	// agreementWindow is how close together reports of two instances must be to
	// count as agreement.
	agreementWindow = 1500 * time.Millisecond
)

// ejectionRecord is what the requests of one or several instances showed of an
// endpoint.
type ejectionRecord struct {
	// failures counts those in a row, and until is when the rest ends.
	failures int
	until    time.Time
	// probing states that one request tries an endpoint that was set aside.
	probing bool
}

// endpointHealth is what is known of an endpoint.
type endpointHealth struct {
	// own is what this instance's requests showed. A link of its own may be at
	// fault, so it counts only for them.
	own ejectionRecord
	// shared is what two instances or more agree on.
	shared ejectionRecord
	// failureRate is the recent part of failed requests.
	failureRate float64
	// reporter is the instance that reported the last failure, and reported is
	// when it did.
	reporter   string
	reportedAt time.Time
	// absentSince is when the endpoint was found not to be there; zero once it answers.
	absentSince time.Time
	// verifiedAt is when it was last looked whether the endpoint is there, as instances agree
	// that it is silent, and answeredAt when it last was.
	verifiedAt time.Time
	answeredAt time.Time
	// preference is higher for a plain endpoint that the instance prefers among
	// equals.
	preference float64
	// placements are the latest requests that it was given.
	placements placementTimes
	// startedAt is when the endpoint's life started that this is about; zero when it does
	// not say.
	startedAt time.Time
}

// rateWeight is the weight of one more outcome in an endpoint's failure rate.
const rateWeight = 0.1

// note takes over an outcome that an instance reports; own states that it is this
// one. It returns true when the endpoint was set aside for all.
func (h *endpointHealth) note(o Outcome, reporter string, own bool, now time.Time) bool {
	if o == Abandoned {
		h.own.probing, h.shared.probing = false, false
		return false
	}
	failed := 1.0
	if o == Served {
		failed = 0
	}
	h.failureRate += rateWeight * (failed - h.failureRate)
	if own {
		h.own.note(o, now)
	}
	if !h.agreed(o, reporter, now) {
		// It may have been the one request that tries the endpoint.
		h.shared.probing = false
		return false
	}
	return h.shared.note(o, now)
}

// agreed states whether a report counts for all: good ones do, bad ones when
// another instance had one just before. What the endpoint itself says needs no
// second instance.
func (h *endpointHealth) agreed(o Outcome, reporter string, now time.Time) bool {
	if o == Served || o == Rejected || o == Misplaced {
		return true
	}
	other := h.reporter != "" && h.reporter != reporter && now.Sub(h.reportedAt) < agreementWindow
	h.reporter, h.reportedAt = reporter, now
	return other
}

// markAlive notes a sign of life. Own states that this instance's own request had it.
func (h *endpointHealth) markAlive(own bool) {
	h.shared = ejectionRecord{}
	h.absentSince = time.Time{}
	h.reporter = ""
	if own {
		h.own = ejectionRecord{}
	}
}

// note takes over an outcome. It returns true when the endpoint is set aside by
// it for longer than a moment.
func (r *ejectionRecord) note(o Outcome, now time.Time) bool {
	r.probing = false
	switch o {
	case Served:
		*r = ejectionRecord{}
		return false
	case Rejected:
		r.until = later(r.until, now.Add(rejectedEjection))
		return false
	case Misplaced:
		r.until = later(r.until, now.Add(misplacedEjection))
		return true
	case Unreachable:
		r.failures = max(r.failures+1, toleratedFailures+1)
	case Failed, Silent:
		r.failures++
	case Abandoned:
	}
	if r.failures <= toleratedFailures {
		return false
	}
	rest := min(minEjection<<min(r.failures-toleratedFailures-1, maxDoublings), maxEjection)
	r.until = later(r.until, now.Add(rest))
	return true
}

// later returns the later one of two moments.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// usable states whether the endpoint may get a request.
func (r *ejectionRecord) usable(now time.Time) bool {
	if now.Before(r.until) {
		return false
	}
	return r.failures <= toleratedFailures || !r.probing
}
