// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package problem holds the refusals and failures that a caller can receive.
//
// Each one states a stable code, the HTTP status, whether the request ran at
// an endpoint, and when coming back makes sense. The wire form is
// application/problem+json as described in RFC 9457.
package problem
