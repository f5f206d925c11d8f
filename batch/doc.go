// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package batch is the cost model of an engine that batches continuously.
//
// An engine works in passes. A pass with writers plays StepsPerPass steps; each step
// takes
//
//	Step + n*PerSequence + c/1000*PerThousandContext
//
// for n writers with c tokens of context together, and gives each writer one
// token. Prompts that wait are read within the pass, which takes
//
//	t/PrefillPerSecond + p/1e6*PerMillionPairs
//
// for t tokens with p pairs of a token and one before it; the writers stand
// still meanwhile. When k engines read a prompt together, each has t/k tokens
// and p/k pairs; such parts go before other prompts. A pass reads at most Chunk
// tokens a step, so that a long prompt takes several passes.
package batch
