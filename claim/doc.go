// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package claim ensures that a request with an idempotency key runs at most once.
//
// Before such a request is dispatched, a claim on its key is appended to the platform's log. Keys
// are distributed over partitions, each a stream of the log. The first claim on a key by offset
// holds it (Registry), and only the entry instance that made this claim dispatches the request,
// once. If it abandons the claim before dispatch, it frees the claim, and a later claim on the key
// can hold it.
//
// The claims of a partition usually go through one instance, its writer, which batches them to save
// appends. Correctness depends only on the order in the log, so that several writers at a time do
// no harm.
//
// If an append gets no answer, reading the stream shows whether the claim was written. If the log
// can't be read in time, the request is refused as not run, and the claim is freed as soon as the
// log answers again.
//
// A key is valid until a time that the caller states, at most the setting max_key_validity ahead.
// Clocks may differ by up to clock_bound, so a request whose key expires within that time is
// refused. Records outlive their keys if the log's retention exceeds max_key_validity +
// 2·clock_bound.
package claim
