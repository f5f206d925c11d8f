// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package notice

import "time"

// Notice is what is known of one start of an endpoint.
type Notice struct {
	// Instance names the endpoint.
	Instance string
	// StartedAt is when this start of the endpoint began; zero when it does not say.
	StartedAt time.Time
	// Limited states that the endpoint names a rate limit.
	Limited bool
	// Rate is the limit, in requests a second from all instances together. Zero without
	// Limited.
	Rate float64
	// Leaving states that the endpoint leaves. A start that leaves does not come back.
	Leaving bool
	// Revision orders the notices of one start; a higher one replaces a lower one.
	Revision uint64
}

// replaces states whether the limit of a notice takes the place of that of another one of the same
// start. Of two with the same revision the stricter one does.
func (n *Notice) replaces(old *Notice) bool {
	switch {
	case n.Revision != old.Revision:
		return n.Revision > old.Revision
	case n.Limited != old.Limited:
		return n.Limited
	}
	return n.Rate < old.Rate
}

// Answer identifies an endpoint's answer.
type Answer struct {
	// Instance names the endpoint that gave it, and StartedAt is when that start of it began; zero
	// when it does not say.
	Instance  string
	StartedAt time.Time
	// Request names the request.
	Request string
	// SentAt is when the request was sent, or earlier; zero when that is not known.
	SentAt time.Time
}

// Statements is what one answer says of its endpoint.
type Statements struct {
	// Limited states that the answer names a rate limit, and Rate is that limit, in requests
	// a second.
	Limited bool
	Rate    float64
	// RateMalformed states that the answer names a rate limit that can't be read.
	RateMalformed bool
	// Leaving states that the endpoint leaves.
	Leaving bool
	// Backoff is for how long the endpoint wants nothing from the instance that it answers; zero
	// when it does not say.
	Backoff time.Duration
	// Malformed is a statement that can't be read, cut short; empty when there is none.
	Malformed string
}

// Guard keeps requests from endpoints that want none.
type Guard interface {
	// RecordAnswer takes over what an answer says.
	RecordAnswer(a Answer, s Statements)
	// ExclusionReason returns why an endpoint, whose start began at born or does not say when, must
	// get no request of this instance now; empty when it may.
	ExclusionReason(instance string, born time.Time) string
}
