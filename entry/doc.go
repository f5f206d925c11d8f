// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package entry serves callers.
//
// The entry authenticates the customer by its key, estimates the size of the request from its
// prompt, and applies the customer's limits with the quota that was lent to this instance. It
// chooses an endpoint by the latest summaries from the endpoints' owners, acquires a lease from
// the owner, runs the attempt on the endpoint and forwards the answer. If the request certainly
// did not run, or is safe to run again, the entry retries it at another endpoint within a retry
// budget.
//
// An admitted request is answered or fails by its deadline. The caller gets the final answer as
// soon as the entry gives the request up.
package entry
