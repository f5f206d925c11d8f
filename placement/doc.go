// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package placement decides which engine runs a request, and which other engines help to
// prefill its prompt.
//
// It models each engine with package batch: the current pass, the prompts that wait for the
// next one, and the decoding requests. Prefilling a prompt, which takes time R, extends the
// engine's next pass to
//
//	pass = PassTime(decoding requests) + waiting prefills + R
//
// A stream is late when a pause between its events exceeds its limit, or its first event comes
// after its target time. It then loses most of its value. The cost of a plan is the value that
// other requests lose plus the value that the request itself loses. MakePlan returns the
// cheapest plan.
//
// Decisions depend only on the state of the engines, the request and the time.
package placement
