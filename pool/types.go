// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"context"
	"time"
)

// PlacementRequest asks for an endpoint for one attempt of a request. All times in it are durations
// relative to its creation, so that the instances' clocks need not agree.
type PlacementRequest struct {
	// ID is unique to the attempt: a request that is sent again gets another one.
	ID      string
	Service string
	// Customer is the customer that the request is accounted to.
	Customer string
	// Rank is the priority of the customer, or of the route if the request has no customer; 0 is
	// the highest.
	Rank int
	// Route is the route's name, and RouteRank its priority.
	Route     string
	RouteRank int
	// Prompt is the prompt's length in tokens.
	Prompt int
	// Content is a hash of the prompt, equal whenever the caller repeats the request; zero if it is
	// not known.
	Content uint64
	// Output is the expected length of the answer in tokens.
	Output int
	// Target is the time left until the first event of this try is late; negative if it is late
	// already. Elapsed is not yet subtracted.
	Target time.Duration
	// Gap is the longest allowed pause between two events of a stream; zero means that pauses don't
	// count.
	Gap time.Duration
	// Deadline is the time left for the whole request.
	Deadline time.Duration
	// Exclude lists endpoints on which the request must not be placed, such as those on which it
	// failed and those that the entry instance knows to be leaving.
	Exclude []string
	// Avoid lists endpoints that the entry instance has ejected for its own requests. They are used
	// only if no other endpoint is usable.
	Avoid []string
	// DrainedDomains lists the failure domains that the entry instance knows to be drained.
	DrainedDomains []string
	// Backoffs lists the endpoints that asked the entry instance for a back-off.
	Backoffs []Backoff
	// Returning is set if the caller tried before and was refused or got no whole answer.
	Returning bool
	// Elapsed is the time between the caller's first try and this one. It is subtracted from
	// Target, so that the first event of a returning caller is due at the same time as on its first
	// try.
	Elapsed time.Duration
	// Retry is set if the entry instance sent the request to an endpoint before. Such a request is
	// charged to the retry budget.
	Retry bool
	// Counted is set if the entry instance has asked for a placement of the request before, so that
	// it doesn't count as another first send.
	Counted bool
	// Replaces is the silent attempt that this one is to replace; its zero value means none.
	Replaces ReplacedAttempt
	// Resumed is set if the caller already has events of the stream.
	Resumed bool
	// DueIn is the time left until the next event of a resumed stream is late; negative if it is
	// late already.
	DueIn time.Duration
}

// Backoff is an endpoint that asked an entry instance to send nothing for a time.
type Backoff struct {
	// Instance is the endpoint's name.
	Instance string
	// Duration is the time left of the back-off.
	Duration time.Duration
}

// PrefillShare is an endpoint that prefills a part of a prompt for another one, in a joint prefill.
type PrefillShare struct {
	// Instance is the endpoint's name.
	Instance string
	// Address is its host and port.
	Address string
	// Reserved is the memory to reserve there before the request is sent, in tokens; zero means
	// none.
	Reserved int
	// Reservation identifies the reserved memory. The entry instance sets it.
	Reservation string
}

// Grant is the placement of an attempt.
type Grant struct {
	// Instance is the name of the endpoint that serves the attempt.
	Instance string
	// Address is its host and port.
	Address string
	// StartedAt is the start time of the endpoint's incarnation that was chosen; zero if the
	// endpoint does not report one.
	StartedAt time.Time
	// Shares lists the endpoints that take part in a joint prefill of the prompt, besides Instance.
	Shares []PrefillShare
	// FirstEventIn is the predicted time from the placement to the first event; zero in a pool
	// without engines.
	FirstEventIn time.Duration
	// Waited is how long the request was queued.
	Waited time.Duration
	// DecidedBy is the instance that placed the attempt.
	DecidedBy string
}

// Refusal is the error for a request that is not placed.
type Refusal struct {
	// Reason is a short explanation for the caller.
	Reason string
	// RetryAfter is how long the caller should wait before it tries again.
	RetryAfter time.Duration
	// KeepReplaced is set if the attempt in PlacementRequest.Replaces should go on rather than be
	// replaced.
	KeepReplaced bool
}

// Error implements error.
func (r *Refusal) Error() string {
	return "no place: " + r.Reason
}

// Outcome is the way in which an attempt ended.
type Outcome int

// Outcomes of attempts. Their numbers are part of the protocol between instances.
const (
	// Served means that the whole answer was received.
	Served Outcome = iota
	// Failed means that the attempt ran, or may have run, without a whole answer.
	Failed
	// Rejected means that the endpoint refused the attempt and did not run it.
	Rejected
	// Unreachable means that the endpoint accepted no connection.
	Unreachable
	// Silent means that the endpoint sent no event for too long.
	Silent
	// Abandoned means that the attempt was ended for no fault of the endpoint, such as by its
	// caller.
	Abandoned
	// Misplaced means that another endpoint answered at the address.
	Misplaced
	// Unused means that nothing was sent to the endpoint. The entry instance still has the request,
	// or has given it up.
	Unused
)

// String returns the outcome's name as it is logged, or "unknown".
func (o Outcome) String() string {
	names := [...]string{"served", "failed", "rejected", "unreachable", "silent", "abandoned", "misplaced", "unused"}
	if o < 0 || int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}

// Placer places requests and is notified of the progress of their attempts.
type Placer interface {
	// Place returns the endpoint to use. The error is a *Refusal or ctx.Err().
	Place(ctx context.Context, a PlacementRequest) (Grant, error)
	// FirstEvent reports the first event of an attempt.
	FirstEvent(id, service string)
	// End reports the end of an attempt. Culprit is the name or the address of the endpoint at
	// fault; empty means the endpoint of the grant.
	End(id, service string, o Outcome, culprit string)
}
