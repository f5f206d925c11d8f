// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package logsvc defines the interface to the platform's append-only log and
// implements it over HTTP.
//
// A stream is a sequence of records. The first record has the offset 1. An append
// adds a batch of records to one stream at consecutive offsets. The log keeps
// records for a limited time, so the records that a read returns may start above
// the requested offset.
//
// The protocol over HTTP:
//
//	POST /v1/streams/{name}                   {"records":[…]} -> {"offset":N}
//	GET  /v1/streams/{name}?from=N&wait_ms=M  -> Batch
//
// The status 503 and any status below 500 other than 200 prove that an append had
// no effect. If the status is another 5xx, or the response is lost, Append returns
// an error with Unknown set. The caller must then read the stream to find out
// whether the records were added.
package logsvc
