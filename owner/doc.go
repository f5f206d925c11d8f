// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package owner schedules endpoints. Each endpoint has one owner among the
// instances of its region, which keeps its queue and its memory ledger and
// gives leases on it. A lease allows its holder to run one attempt.
//
// Ownership is a hint that makes scheduling good; nothing that must hold rests
// on it. Two instances that both take themselves for an endpoint's owner give
// too many leases, and the engine refuses those that do not fit.
//
// An owner returns memory that nobody uses. It compares what runs at the
// endpoint with its leases. For an attempt that it does not know, and for a
// lease that it has not heard of for ConfirmAfter, it asks the holder. What the
// holder does not hold is cancelled at once; what a silent holder may hold is
// cancelled OrphanAfter later. Cancels repeat until the endpoint no longer
// lists the attempt, so the memory of an attempt whose holder died is back
// within
//
//	ConfirmAfter + OrphanAfter + 2·SweepInterval
//
// as long as the endpoint answers. A new owner rebuilds its ledger the same
// way: it adopts what the holders say they hold.
package owner
