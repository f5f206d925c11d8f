// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package owner

import (
	"context"
	"time"

	"github.com/linkmast/linkmast/policy"
)

// Request asks for a lease.
type Request struct {
	// Attempt is the id of the attempt, chosen by the holder.
	Attempt string
	// Holder names the instance that will dispatch the attempt.
	Holder string
	// Endpoint names the endpoint.
	Endpoint string
	// Work is what the attempt needs.
	Work policy.Work
	// Patience is the estimate above which the owner refuses instead of
	// queueing; zero means none.
	Patience time.Duration
}

// Grant is a lease.
type Grant struct {
	// Address is the endpoint's host and port.
	Address string
	// Instance names the endpoint instance that the lease is for.
	Instance string
	// Priority is what the engine is to be given.
	Priority int
	// StartWithin is how long the lease may go unused.
	StartWithin time.Duration
}

// Code says why a lease was refused.
type Code string

// The codes of refusals.
const (
	// RefusedNotOwner means that the instance does not own the endpoint.
	RefusedNotOwner Code = "not_owner"
	// RefusedEjected means that the endpoint is set aside.
	RefusedEjected Code = "aside"
	// RefusedLeaving means that the endpoint is leaving.
	RefusedLeaving Code = "leaving"
	// RefusedDeadline means that the deadline can't be met here.
	RefusedDeadline Code = "deadline"
	// RefusedPatience means that the estimate is above the patience.
	RefusedPatience Code = "patience"
	// RefusedSize means that the endpoint never holds the attempt.
	RefusedSize Code = "size"
	// RefusedStopping means that the instance is stopping.
	RefusedStopping Code = "stopping"
	// RefusedSilent means that the owner showed no sign of life.
	RefusedSilent Code = "silent"
)

// Refusal is why a lease was not given.
type Refusal struct {
	// Code names the reason.
	Code Code
	// Detail explains it.
	Detail string
	// RetryAfter is when a try makes sense again.
	RetryAfter time.Duration
}

// Error returns the code and the detail.
func (r *Refusal) Error() string {
	return "lease refused: " + string(r.Code) + ": " + r.Detail
}

// Outcome is what a holder tells of a lease.
type Outcome string

// The outcomes of leases.
const (
	// FirstToken keeps the lease and notes that the prompt is done.
	FirstToken Outcome = "first_token"
	// Done ends the lease after a whole answer or a cancel that arrived.
	Done Outcome = "done"
	// Failed ends the lease after the endpoint failed.
	Failed Outcome = "failed"
	// NotStarted ends a lease that was not used.
	NotStarted Outcome = "not_started"
)

// Release tells of a lease.
type Release struct {
	// Attempt is the id of the attempt.
	Attempt string
	// Endpoint names the endpoint.
	Endpoint string
	// Outcome is what became of it.
	Outcome Outcome
	// Step is the mean time between tokens; zero when unknown.
	Step time.Duration
}

// Leaser gives leases: an Owner in this process, or a Client of another.
type Leaser interface {
	// Acquire waits for a lease. It calls queued, if not nil, with the
	// estimated wait when the request is queued. A refusal is a *Refusal.
	Acquire(ctx context.Context, r Request, queued func(time.Duration)) (Grant, error)
	// Release tells of a lease.
	Release(ctx context.Context, r Release) error
}

// Holders asks instances about the attempts that they hold.
type Holders interface {
	// Held returns which of the attempts the holder holds. It fails when the
	// holder can't be reached.
	Held(ctx context.Context, holder string, attempts []string) ([]string, error)
}
