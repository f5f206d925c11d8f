// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package entry serves callers.
//
// The path of a request: its customer is known by its key, its size by its
// prompt, and its limits by what was lent to this instance. The entry chooses
// an endpoint by what the endpoints' owners last told, asks the owner for a
// lease, runs the attempt on the endpoint itself, and relays the answer. What
// surely did not run, or may run again, is tried elsewhere within a budget.
//
// A request that was admitted finishes or fails by its deadline, and gets its
// final answer as soon as it is given up.
package entry
