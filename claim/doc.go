// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package claim sees to it that a request with a key from its caller runs at
// most once.
//
// Before such a request is dispatched, a claim on its key is appended to the
// platform's log. Keys are spread over partitions, each a stream of the log.
// The first claim on a key by offset holds it (Registry), and only the instance
// that wrote it dispatches, once. A claim that was given up before dispatch is
// freed by its own writer, and then the next one holds.
//
// Claims of a partition usually go through one instance, its writer, which
// batches them. That saves appends; who writes decides nothing, as the order in
// the log does. Two writers at once do no harm.
//
// A claim whose append went unanswered is settled by reading. When that is not
// possible in time the request is refused as not run, and the claim is freed as
// soon as the log answers again.
//
// A key is valid until a time that the caller states, at most MaxKeyValidity
// ahead. Clocks may differ by ClockBound: a request whose key ends within that
// is refused. Records outlive keys as long as the log's retention is above
// MaxKeyValidity + 2·ClockBound.
package claim
