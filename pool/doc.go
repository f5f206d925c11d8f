// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package pool places requests on the endpoints of a service.
//
// The endpoints of one service form a pool. One instance, the pool's owner,
// places all requests for it: it models the load of the engines (package
// placement), queues requests that would delay others too much, enforces the
// retry budget and ejects endpoints that fail. An instance that receives a request
// from a caller is its entry instance: it sends a placement request to the owner
// over gRPC (Client, Server) and connects to the chosen endpoint itself.
//
// Correctness does not depend on the owner. An entry instance that gets no answer
// in time asks the next instance in the order of owners, and if none answers it
// places the request by its own view of the load. Two instances that act as owner
// at the same time make worse placements until they agree, but endpoints reject
// requests that don't fit before they run them.
//
// The pool of a service without engines has an owner only while one of its endpoints announces a
// rate limit. Otherwise each instance places its own requests, and knows only the load of these.
package pool
