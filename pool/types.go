// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"context"
	"time"
)

// PlacementRequest is a request for a place. Durations count from when it is made, so that
// clocks need not agree.
type PlacementRequest struct {
	// ID names one attempt of a request. No other attempt has it.
	ID string
	// Service names the service.
	Service string
	// Customer is who pays.
	Customer string
	// Rank is the priority that the customer bought, or that of the route where none is
	// known; 0 goes first.
	Rank int
	// Route names the route, and RouteRank is its priority.
	Route     string
	RouteRank int
	// Prompt is the length of the prompt, in tokens.
	Prompt int
	// Content is a hash of what the prompt consists of, the same each time that its caller
	// asks; zero when it is not known.
	Content uint64
	// Output is the likely length of the answer, in tokens.
	Output int
	// Target is the time that is left until the first event would be late. It
	// may be negative.
	Target time.Duration
	// Gap is the longest pause between events of a stream in time; zero means
	// none counts.
	Gap time.Duration
	// Deadline is the time that is left in all.
	Deadline time.Duration
	// Exclude are endpoints that failed the request.
	Exclude []string
	// Avoid are endpoints that failed the entry's requests of late. They are
	// used when there is no other.
	Avoid []string
	// DrainedDomains are the failure domains that get nothing new, as the entry knows.
	DrainedDomains []string
	// Backoffs are the endpoints that have asked the entry for a back-off.
	Backoffs []Backoff
	// Returning states that the caller has come back after a refusal, or tries
	// again.
	Returning bool
	// Elapsed is how long before Target began to count the caller first asked: a
	// caller that has come back is late by its first try.
	Elapsed time.Duration
	// Retry states that the request was sent to an endpoint before.
	Retry bool
	// Replaces is the silent attempt that the ask is to replace, if any.
	Replaces ReplacedAttempt
	// Resumed states that the caller has events of the stream already.
	Resumed bool
	// DueIn is the time that is left until the next event of a resumed stream would be
	// late. It may be negative.
	DueIn time.Duration
}

// Backoff is an endpoint that wants nothing from an entry.
type Backoff struct {
	// Instance names the endpoint.
	Instance string
	// Duration is for how long.
	Duration time.Duration
}

// PrefillShare is an endpoint that helps to read a prompt.
type PrefillShare struct {
	// Instance names the endpoint.
	Instance string
	// Address is its host and port.
	Address string
	// Reserved is the memory to set aside there, in tokens; zero means none.
	Reserved int
	// Reservation names the memory once it is set aside.
	Reservation string
}

// Grant is a place for a request.
type Grant struct {
	// Instance names the endpoint.
	Instance string
	// Address is its host and port.
	Address string
	// StartedAt is when the endpoint's life started that the place is at, as the one who
	// decided knows it; zero when it does not say.
	StartedAt time.Time
	// Shares are the endpoints that read the prompt together with it.
	Shares []PrefillShare
	// FirstEventIn is the predicted time to the first event.
	FirstEventIn time.Duration
	// Waited is how long the request was held for a better moment.
	Waited time.Duration
	// DecidedBy names the instance that decided.
	DecidedBy string
}

// Refusal is the error of a request that gets no place.
type Refusal struct {
	// Reason says why, in a few words.
	Reason string
	// RetryAfter is when coming back makes sense.
	RetryAfter time.Duration
	// KeepReplaced states that the attempt which the ask was to replace goes on after that.
	KeepReplaced bool
}

// Error returns the reason.
func (r *Refusal) Error() string {
	return "no place: " + r.Reason
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes.
const (
	// Served attempts have a whole answer.
	Served Outcome = iota
	// Failed attempts ran, or may have, and have no whole answer.
	Failed
	// Rejected attempts were turned away by the endpoint and did not run.
	Rejected
	// Unreachable endpoints did not take a connection.
	Unreachable
	// Silent endpoints stopped answering.
	Silent
	// Abandoned attempts were ended by the caller.
	Abandoned
	// Misplaced attempts came to another endpoint at the same address.
	Misplaced
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	names := [...]string{"served", "failed", "rejected", "unreachable", "silent", "abandoned", "misplaced"}
	if o < 0 || int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}

// Placer finds places for requests and hears what becomes of them.
type Placer interface {
	// Place returns a place. The error is a *Refusal, or that of ctx.
	Place(ctx context.Context, a PlacementRequest) (Grant, error)
	// First notes the first event of an attempt.
	First(id, service string)
	// End notes the end of an attempt. Culprit names the endpoint at fault by
	// instance or address; empty means the one of the grant.
	End(id, service string, o Outcome, culprit string)
}
