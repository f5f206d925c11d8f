// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package limit holds customers' limits on rate and concurrency across all
// instances.
//
// Each customer has a keeper among the instances, by rendezvous hashing. The
// keeper lends allowance in small batches (Lender), and each instance spends
// what it borrowed (Borrower). The rate is a token bucket at the keeper:
//
//	starts lent in t seconds <= burst + rate·t
//
// Running allowance is lent for a limited time and asked for again while it is
// in use, so what a dead instance borrowed comes back.
//
// When the keeper can't be reached, an instance spends a bounded local share,
// rate/n with n instances, so that n cut-off instances together exceed the
// limit by at most their n bursts of one.
package limit
