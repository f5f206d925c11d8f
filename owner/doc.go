// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package owner schedules endpoints. Each endpoint has one owner among the
// instances of its region, which manages the endpoint's queue and memory ledger
// and grants leases. A lease permits its holder to run one attempt at the
// endpoint.
//
// Correctness doesn't depend on ownership. If two instances consider themselves
// the owner of an endpoint, they grant too many leases, and the engine refuses
// the attempts that don't fit.
//
// An owner frees memory that is no longer used. It compares what runs at the
// endpoint with its leases, and asks the holders about attempts without a
// lease, about leases that remain unused and about leases that have not been
// confirmed for ConfirmAfter. It cancels at once an attempt that its holder no
// longer has, and after OrphanAfter one whose holder doesn't answer. Cancels
// are repeated until the endpoint no longer lists the attempt. The memory of an
// attempt whose holder has died is therefore free within
//
//	ConfirmAfter + OrphanAfter + 2·SweepInterval
//
// as long as the endpoint answers. A new owner rebuilds its ledger in the same
// way: it creates leases for the attempts that the holders report.
package owner
