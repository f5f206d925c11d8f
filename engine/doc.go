// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package engine defines the interface to model engines and implements it over
// HTTP.
//
// An engine runs attempts. An attempt is one try to answer one request. The
// answer is a stream of chunks. Each chunk carries the id of the attempt and a
// sequence number that starts at 1, and the last chunk gives the reason why the
// answer ended. AnswerChecker detects missing chunks, chunks of other attempts and
// chunks after the end, and reports whether the last chunk has been accepted.
//
// The protocol over HTTP:
//
//	POST   /v1/attempts               starts an Attempt; returns lines of Chunk
//	GET    /v1/attempts/{id}?from=N   returns the lines of Chunk from number N
//	DELETE /v1/attempts/{id}          cancels an attempt or a reservation; succeeds for an
//	                                  unknown id
//	POST   /v1/reservations           makes a Reservation on one engine of a group
//	GET    /v1/status?list=BOOL       returns the Status
//	POST   /v1/orders                 submits an Order
//	GET    /v1/events?after=N         returns the stored CacheEvents after number N
//
// The body of a refusal is a Refusal. Only a refusal with "started":false or a
// failure to connect proves that an attempt did not start.
package engine
