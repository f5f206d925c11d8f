// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package notice keeps what endpoints say of themselves in their answers.
//
// An endpoint in need names a rate limit in each of its answers: how many requests a second
// it takes from all instances together. The limit holds until an answer comes without it. An
// answer to a request that was sent before the limit was last named proves nothing.
//
// A Registry belongs to one instance. What one instance hears it tells others as a Notice. Notices
// of one start of an endpoint have revisions, so that all instances end up with the same one in
// whatever order they arrive.
package notice
