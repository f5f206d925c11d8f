// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package account tells from the log lines of a deployment what became of its requests,
// by kind and cause.
//
// It reads the lines "attempt", "refuse" and "caller gone" of all instances, in any
// order; text before a line's JSON object is passed over, and so are other lines. A kind
// is a target for the first event with a longest pause in time, as routes state them. Of
// each request the first cause that holds counts.
package account
