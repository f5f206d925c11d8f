// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package relay forwards requests from callers to endpoints and streams the answers back
// unchanged.
//
// The configuration in force determines a request's route and customer, and a pool.Placer
// assigns the request to an endpoint. If the request certainly did not run, or is safe to run
// again, the relay retries it at another endpoint, within the route's number of attempts and
// the pool's retry budget. An interrupted stream of a resumable route is resumed at another
// endpoint after the last complete event that was sent to its caller.
//
// The relay answers 503 only if no part of the request can have run; 502 and 504 leave that
// open. If it can't complete an answer that it has begun, it closes the caller's connection, so
// that the caller does not take the answer for complete.
package relay
