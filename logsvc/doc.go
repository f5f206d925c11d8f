// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package logsvc is the interface to the platform's append-only log, and its
// adapter over HTTP.
//
// A stream is a sequence of records with offsets from 1. An append adds a
// batch of records to one stream at consecutive offsets. Records are kept for
// a limited time, so a read may start above the offset asked for.
//
// The protocol over HTTP:
//
//	POST /v1/streams/{name}                   {"records":[…]} -> {"offset":N}
//	GET  /v1/streams/{name}?from=N&wait_ms=M  -> Batch
//
// A 503 proves that an append had no effect. The answer to an append can be
// lost after the records were added. Such an
// append fails with Unknown and is settled by reading.
package logsvc
