// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package pool gives requests places on endpoints.
//
// A pool is the endpoints of one service. One instance, the pool's owner, sees
// every request that is placed there; it models the engines (package
// placement), holds requests that would do harm now, has the retry budget, and
// sets endpoints aside that fail. Entries ask it over gRPC (Client, Server) and
// dial the endpoint themselves.
//
// The owner is a matter of quality, never of safety: an entry that gets no
// answer in time asks the next instance in order, and places the request by what
// it knows itself when none answers. Two owners at once place badly for a
// moment; endpoints refuse what does not fit before it runs.
//
// Services without engines need no owner: each instance places their requests
// by what it has in flight itself.
package pool
