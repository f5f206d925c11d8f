// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package account determines from the log of a deployment what became of its requests, by kind
// and cause.
//
// It reads the lines "attempt", "refuse" and "caller gone" of all instances, in any order. It
// ignores other lines, attempts on routes without a target, and the text before a line's JSON
// object. The kind of a request consists of its route's targets for the first event and for the
// pauses between events.
package account
