// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package notice

import "time"

// Notice is what the instances know of one incarnation of an endpoint from its answers.
type Notice struct {
	// Instance is the name of the endpoint.
	Instance string
	// StartedAt is when the incarnation started; zero if the endpoint doesn't report it.
	StartedAt time.Time
	// Limited reports that the endpoint states a rate limit.
	Limited bool
	// Rate is the limit in requests per second from all instances together; zero if Limited is
	// false.
	Rate float64
	// Leaving reports that the endpoint has said that it is leaving. An incarnation that leaves
	// does not return.
	Leaving bool
	// Revision orders the notices of one incarnation; a higher one replaces a lower one.
	Revision uint64
}

// replaces reports whether the rate limit of n replaces that of another notice of the same
// incarnation. With equal revisions the stricter limit wins.
func (n *Notice) replaces(old *Notice) bool {
	switch {
	case n.Revision != old.Revision:
		return n.Revision > old.Revision
	case n.Limited != old.Limited:
		return n.Limited
	}
	return n.Rate < old.Rate
}

// Answer identifies an answer of an endpoint.
type Answer struct {
	// Instance is the name of the endpoint, and StartedAt is when its incarnation started; zero
	// if the endpoint doesn't report it.
	Instance  string
	StartedAt time.Time
	// Request is the id of the request.
	Request string
	// SentAt is when the request was sent, or a moment before that; zero if unknown.
	SentAt time.Time
}

// Statements is what one answer says about its endpoint.
type Statements struct {
	// Limited reports that the answer states a rate limit, and Rate is that limit in requests per
	// second.
	Limited bool
	Rate    float64
	// RateMalformed reports that the answer states a rate limit that can't be parsed.
	RateMalformed bool
	// Leaving reports that the endpoint is leaving.
	Leaving bool
	// Backoff is how long the endpoint wants no requests from the instance that it answers; zero
	// if it asks for no back-off.
	Backoff time.Duration
	// Malformed is a statement that can't be parsed, truncated; empty if there is none.
	Malformed string
}

// Guard decides whether requests may be sent to an endpoint, depending on what its answers said.
type Guard interface {
	// RecordAnswer records the statements of an answer.
	RecordAnswer(a Answer, s Statements)
	// ExclusionReason returns why this instance must not send requests to an incarnation of an
	// endpoint now; empty if it may. The start time is zero if the endpoint doesn't report it.
	ExclusionReason(instance string, startedAt time.Time) string
}
