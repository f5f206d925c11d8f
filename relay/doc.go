// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package relay takes requests from callers to endpoints and their answers
// back, byte for byte.
//
// The path of a request: its route and customer follow from the configuration
// in force, its place from a pool.Placer; the relay sends it to the endpoint and
// passes the answer on. What surely did not run, or may run again, is sent to
// another endpoint within the route's bound and the pool's budget. A stream that
// breaks off is continued at another endpoint after the last whole event that
// its caller has.
//
// 503 is answered only when nothing of the request can have run; 502 and 504
// say nothing about that. An answer that can't be completed is cut off, so that
// it never looks whole.
package relay
