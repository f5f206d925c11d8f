// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"time"
)

// Parameters of ejections.
const (
	// minEjection is how long an endpoint is ejected after the first failure beyond
	// toleratedFailures. The time doubles with each further failure.
	minEjection = 700 * time.Millisecond
	// maxEjection bounds the length of an ejection after failures. Restarted engines are back after
	// some seconds.
	maxEjection = 3 * time.Second
	// maxDoublings prevents an overflow; maxEjection is reached before.
	maxDoublings = 4
	// rejectedEjection is how long an endpoint is ejected after it rejected a request.
	rejectedEjection = 60 * time.Millisecond
	// misplacedEjection is how long an endpoint is ejected after another endpoint was found at
	// its address. It gives the catalog time to learn of the change.
	misplacedEjection = 5 * time.Second
	// toleratedFailures is how many failures in a row are attributed to the requests rather
	// than to the endpoint. An Unreachable outcome exceeds it at once.
	toleratedFailures = 2
	// agreementWindow is the time within which failures reported by two instances count as
	// agreement.
	agreementWindow = 1500 * time.Millisecond
)

// ejectionRecord holds the failures of an endpoint's requests and its ejection.
type ejectionRecord struct {
	// failures counts the failures in a row, and until is when the ejection ends.
	failures int
	until    time.Time
	// probing is set while a probe request is running on an endpoint that was ejected. It is used
	// only in the shared record.
	probing bool
}

// endpointHealth is the health of one endpoint.
type endpointHealth struct {
	// own is the record of this instance's own requests. It applies only to them, as the fault may
	// lie in this instance's network.
	own ejectionRecord
	// shared is the record that applies to all requests. Failures count only if two instances
	// report them.
	shared ejectionRecord
	// failureRate is the moving average of the part of requests that were not served, without
	// abandoned ones, and ratedAt is when it was last updated.
	failureRate float64
	ratedAt     time.Time
	// reporter is the instance that reported the last failure, and reportedAt when it did.
	reporter   string
	reportedAt time.Time
	// absentSince is when the endpoint was excluded (see Scheduler.exclude); zero if it was not, or
	// has answered since.
	absentSince time.Time
	// verifiedAt is when the endpoint was last checked because several instances had silent
	// attempts on it, and answeredAt when it last answered such a check.
	verifiedAt time.Time
	answeredAt time.Time
	// preference decides between plain endpoints of equal load; the highest is preferred.
	preference float64
	// placements holds the times of the latest placements on the endpoint.
	placements placementTimes
	// startedAt is when the endpoint's incarnation started; zero if unknown.
	startedAt time.Time
}

// Parameters of the failure rate.
const (
	// rateWeight is the weight of the latest outcome.
	rateWeight = 0.1
	// rateLifetime is how long the rate holds without new outcomes. Without it, a plain endpoint that
	// gets no requests because of its failures would never be tried again.
	rateLifetime = 10 * time.Second
)

// recentFailureRate returns the failure rate; zero if it is too old to hold.
func (h *endpointHealth) recentFailureRate(now time.Time) float64 {
	if now.Sub(h.ratedAt) > rateLifetime {
		return 0
	}
	return h.failureRate
}

// record updates the health by an outcome that an instance reported. Own is set if that was this
// instance. It reports whether the outcome ejects the endpoint for all instances, except for the
// short ejection after a rejection.
func (h *endpointHealth) record(o Outcome, reporter string, own bool, now time.Time) bool {
	if o == Abandoned || o == Unused {
		h.own.probing, h.shared.probing = false, false
		return false
	}
	failed := 1.0
	if o == Served {
		failed = 0
	}
	h.failureRate = h.recentFailureRate(now)
	h.failureRate += rateWeight * (failed - h.failureRate)
	h.ratedAt = now
	if own {
		h.own.record(o, now)
	}
	if !h.agreed(o, reporter, now) {
		// The attempt may have been the probe request.
		h.shared.probing = false
		return false
	}
	return h.shared.record(o, now)
}

// agreed reports whether an outcome counts for all instances. Answers, rejections and misplaced
// attempts do, as an answer from the endpoint's address proves them. Failures do if another
// instance reported the previous one, less than agreementWindow ago.
func (h *endpointHealth) agreed(o Outcome, reporter string, now time.Time) bool {
	if o == Served || o == Rejected || o == Misplaced {
		return true
	}
	other := h.reporter != "" && h.reporter != reporter && now.Sub(h.reportedAt) < agreementWindow
	h.reporter, h.reportedAt = reporter, now
	return other
}

// markAlive clears the failures and ends the ejection and the exclusion after a first event. Own is
// set if this instance received the event; only then its own record is cleared too.
func (h *endpointHealth) markAlive(own bool) {
	h.shared = ejectionRecord{}
	h.absentSince = time.Time{}
	h.reporter = ""
	if own {
		h.own = ejectionRecord{}
	}
}

// record updates the record by an outcome. It reports whether the outcome ejects the endpoint,
// except for the short ejection after a rejection.
func (r *ejectionRecord) record(o Outcome, now time.Time) bool {
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
	case Abandoned, Unused:
	}
	if r.failures <= toleratedFailures {
		return false
	}
	ejection := min(minEjection<<min(r.failures-toleratedFailures-1, maxDoublings), maxEjection)
	r.until = later(r.until, now.Add(ejection))
	return true
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// usable reports whether the endpoint may get a request: its ejection is over, and no probe request
// is running.
func (r *ejectionRecord) usable(now time.Time) bool {
	if now.Before(r.until) {
		return false
	}
	return r.failures <= toleratedFailures || !r.probing
}
