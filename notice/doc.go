// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package notice keeps what endpoints say about themselves in their answers: a rate limit, that
// they are leaving, or that they want a back-off.
//
// An overloaded endpoint states a rate limit in each of its answers, in requests per second from
// all instances together. The limit holds until an answer doesn't state it. Such an answer counts
// only if its request was sent after the limit was last stated.
//
// Each instance has a Registry, and sends what it learns to other instances as a Notice. The
// notices of one incarnation of an endpoint have revisions, so that all instances end up with the
// same notice in whatever order the notices arrive.
package notice
