// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package batch is the cost model of an engine with continuous batching.
//
// An engine works in passes. A pass with decoding requests consists of StepsPerPass steps, each
// of which takes
//
//	Step + n*PerSequence + c/1000*PerThousandContext
//
// for n decoding requests with c tokens of context in total, and generates one token for each
// of them. A pass also prefills waiting prompts, which takes
//
//	t/PrefillPerSecond + p/1e6*PerMillionPairs
//
// in addition, for t tokens with p pairs of a token and an earlier one. Decoding pauses during
// the prefill.
// When k engines prefill a prompt together, each has t/k tokens and p/k pairs, and these shares
// go before other prompts. A pass prefills at most Chunk tokens per step, so that a long prompt
// takes several passes.
package batch
