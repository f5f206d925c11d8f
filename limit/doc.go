// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package limit enforces customers' quotas on rate and concurrency across all
// instances.
//
// Rendezvous hashing selects one instance as the quota owner of each customer.
// The quota owner lends parts of the quota in small batches (Lender), and the
// instances admit requests with what they have borrowed (Borrower). The quota
// owner limits the rate by a token bucket:
//
//	starts lent in t seconds <= burst + rate·t
//
// Concurrency is lent for a limited time and renewed while it is in use, so that
// the loans of an instance that dies expire.
//
// While the quota owner can't be reached, an instance uses a local share: rate/n
// with a burst of one, and concurrency/n but at least one request, where n is
// the number of instances. If all n instances do so, they exceed the rate limit
// by at most n requests.
package limit
