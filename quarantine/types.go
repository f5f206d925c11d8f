// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import "time"

// Crash describes an endpoint that ended while it ran an attempt of a request.
type Crash struct {
	// Attempt is the id of the attempt, unique among all instances.
	Attempt string
	// PreviousAttempt is the id of the last failed attempt before this one that the same instance
	// made for the same request of a caller; empty if there is none.
	PreviousAttempt string
	// Identity is the identity of the request.
	Identity Identity
	// Endpoint is the address of the endpoint that ended, and Incarnation identifies its process; zero
	// if that is unknown.
	Endpoint    string
	Incarnation Incarnation
	// Parts are the identities of the parts of the prompt, if the endpoint that ended is the one that
	// was to answer; nil otherwise.
	Parts []Identity
	// OtherEndpoints are the addresses of the other endpoints of the attempt's joint prefill. They
	// may end at the same moment, which may be known only from crashes of other requests.
	OtherEndpoints []string
	// StartedAt is when the request was sent to the endpoint, or a moment before that, and EndedAt
	// is when the attempt failed.
	StartedAt time.Time
	EndedAt   time.Time
}

// EndedEndpoint is an endpoint that was found to have ended, with its last incarnation.
type EndedEndpoint struct {
	Address     string
	Incarnation Incarnation
}

// State says whether the requests of an identity may run.
type State int

// The states of an identity.
const (
	// Cleared requests may run.
	Cleared State = iota
	// Suspected requests may run, but the next crash that counts bans them. An instance reports its
	// first complete answer to a suspected request, which clears the identity.
	Suspected
	// Banned requests must not be sent to any endpoint.
	Banned
)

// String returns the name of the state in lower case.
func (s State) String() string {
	switch s {
	case Cleared:
		return "cleared"
	case Suspected:
		return "suspected"
	case Banned:
		return "banned"
	}
	return "unknown"
}

// Verdict is a decision about an identity that one instance sends to others.
type Verdict struct {
	// Identity is the identity that the verdict applies to.
	Identity Identity
	// State is the new state of the identity.
	State State
	// Remaining is how much longer a ban lasts. It is relative because the clocks of instances may
	// differ.
	Remaining time.Duration
	// Part is set if the identity is that of a part of prompts.
	Part bool
	// Since is when the first crash under a suspected part ended; zero in other verdicts.
	Since time.Time
	// StartedAt is when an answered attempt with a part was started, in the report of an entry
	// instance that is not sure whether this clears the part; zero in other verdicts.
	StartedAt time.Time
	// BanCount is how often the identity has been banned since it was last cleared.
	BanCount int
}
