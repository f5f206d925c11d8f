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
// after its target time. It then loses most of its worth. The cost of a plan is the worth that
// other requests lose, with a greater weight, plus the worth that the request itself loses, a
// small cost for each helper, and the cost of keeping future long prefills off an engine.
// MakePlan returns the cheapest plan.
//
// Decisions depend only on the state of the engines, the request and the time.
package placement
