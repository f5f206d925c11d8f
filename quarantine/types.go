// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import "time"

// Crash is the end of an endpoint while it ran an attempt of a request.
type Crash struct {
	// Attempt names the attempt. No other one has its name.
	Attempt string
	// PreviousAttempt names the last attempt before this one, of the same try of the request, that broke
	// off as well; empty for the first one.
	PreviousAttempt string
	// Identity is that of the request.
	Identity Identity
	// Endpoint is the address of the endpoint that ended.
	Endpoint string
	// OtherEndpoints are the addresses of the other endpoints that worked on the attempt, in a joint
	// reading. They may end at the same moment, which others alone tell of.
	OtherEndpoints []string
	// StartedAt is when the request was sent to the endpoint, and EndedAt when that broke off.
	StartedAt time.Time
	EndedAt   time.Time
}

// State is what is thought of the requests of an identity.
type State int

// The states.
const (
	// Cleared requests may run.
	Cleared State = iota
	// Suspected requests may run; the next crash bans them. Who serves one says so.
	Suspected
	// Banned requests run nowhere.
	Banned
)

// String returns the name of the state.
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

// Verdict is what an instance tells others of an identity.
type Verdict struct {
	// Identity is that of the requests.
	Identity Identity
	// State is what is thought of them.
	State State
	// Remaining is how much longer a ban lasts; clocks need not agree.
	Remaining time.Duration
	// BanCount is how often the identity was banned without being cleared in between.
	BanCount int
}
