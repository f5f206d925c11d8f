// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package problem defines the errors that callers receive.
//
// Each error has a stable code, the HTTP status, whether the request ran on an endpoint, and
// when the caller may retry. On the wire it is application/problem+json (RFC 9457).
package problem
