// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package owner

import (
	"context"
	"time"

	"github.com/linkmast/linkmast/policy"
)

// Request asks an owner for a lease on an endpoint.
type Request struct {
	// Attempt is the id of the attempt, chosen by the entry instance.
	Attempt string
	// Holder is the id of the entry instance, which holds the lease if it is granted.
	Holder string
	// Endpoint is the id of the endpoint.
	Endpoint string
	// Work describes the resources and the deadline of the attempt.
	Work policy.Work
	// Patience is the estimated wait above which the owner refuses the request instead of queueing
	// it; zero means no limit.
	Patience time.Duration
}

// Grant describes a granted lease to its holder.
type Grant struct {
	// Address is the endpoint's host and port.
	Address string
	// Instance is the name of the endpoint instance that the lease is for.
	Instance string
	// Priority is the priority to pass to the engine.
	Priority int
	// StartWithin is how long the lease may remain unused.
	StartWithin time.Duration
}

// Code is the reason of a refusal.
type Code string

// The reasons of refusals.
const (
	// RefusedNotOwner means that the instance does not own the endpoint.
	RefusedNotOwner Code = "not_owner"
	// RefusedEjected means that the endpoint is ejected.
	RefusedEjected Code = "aside"
	// RefusedLeaving means that the endpoint is leaving.
	RefusedLeaving Code = "leaving"
	// RefusedDeadline means that the deadline can't be met at the endpoint.
	RefusedDeadline Code = "deadline"
	// RefusedPatience means that the estimated wait exceeds the patience.
	RefusedPatience Code = "patience"
	// RefusedSize means that the attempt needs more memory than the endpoint has.
	RefusedSize Code = "size"
	// RefusedStopping means that the owner is stopping.
	RefusedStopping Code = "stopping"
	// RefusedSilent means that the owner did not respond in time, or that the call to it failed.
	RefusedSilent Code = "silent"
)

// Refusal is the error of a refused lease.
type Refusal struct {
	// Code is the reason.
	Code Code
	// Detail explains the reason in words.
	Detail string
	// RetryAfter is when a retry may succeed; zero if unknown.
	RetryAfter time.Duration
}

// Error returns the code and the detail.
func (r *Refusal) Error() string {
	return "lease refused: " + string(r.Code) + ": " + r.Detail
}

// Outcome is what a holder reports about a lease.
type Outcome string

// The outcomes of leases.
const (
	// FirstToken keeps the lease and reports that the prefill is finished.
	FirstToken Outcome = "first_token"
	// Done ends the lease after a complete answer.
	Done Outcome = "done"
	// Failed ends the lease of an attempt that failed or was cancelled.
	Failed Outcome = "failed"
	// NotStarted ends a lease that was not used.
	NotStarted Outcome = "not_started"
)

// Release is a holder's report about a lease.
type Release struct {
	// Attempt is the id of the attempt.
	Attempt string
	// Endpoint is the id of the endpoint.
	Endpoint string
	// Outcome is the outcome to report.
	Outcome Outcome
	// Step is the mean time between tokens; zero if unknown.
	Step time.Duration
}

// Leaser grants leases. It is an Owner in this process, or a Client of another.
type Leaser interface {
	// Acquire waits for a lease. If the request is queued, it calls queued, unless that is nil, with
	// the estimated wait, possibly more than once. The error of a refused request is a *Refusal.
	Acquire(ctx context.Context, r Request, queued func(time.Duration)) (Grant, error)
	// Release reports the outcome of a lease.
	Release(ctx context.Context, r Release) error
}

// Holders gives access to the instances that hold leases.
type Holders interface {
	// Held returns those of the given attempts that a holder still has. It returns an error if the
	// holder can't be reached.
	Held(ctx context.Context, holder string, attempts []string) ([]string, error)
}
