// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package engine is the interface to model engines, and its adapter over HTTP.
//
// An engine runs attempts. An attempt is one try to answer one request; its id
// names the instance that dispatched it. The answer is a stream of chunks that
// carry the attempt's id and a sequence number from 1, and one explicit end.
// Check refuses a gap, a foreign id and a missing end, so that a caller gets a
// whole answer or an error.
//
// The protocol over HTTP:
//
//	POST   /v1/attempts               Attempt in, lines of Chunk out
//	GET    /v1/attempts/{id}?from=N   the lines of Chunk from N on
//	DELETE /v1/attempts/{id}          cancel; no error when unknown
//	POST   /v1/reservations           Reservation: memory of one member of a group
//	GET    /v1/status?list=BOOL       Status: load, held memory and what runs
//	POST   /v1/orders                 Order, fenced
//	GET    /v1/events?after=N         Events of the prefix cache
//
// A refusal carries a body of the form {"code":…,"started":false}. Only a
// refusal that says so, and a connection that never came about, prove that the
// attempt did not start.
package engine
