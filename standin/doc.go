// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package standin holds small stand-ins for what surrounds the system: model
// engines, plain services, and the platform's log, list of instances and
// weight store. They serve the demo, the load tool and the contract tests.
//
// An Engine models continuous batching in steps. A step gives one token to
// each attempt whose prompt is done, and up to ChunkTokens of prefill to the
// attempts whose prompt is not, in order of priority and arrival:
//
//	step time = max(decode step if any decodes, prefill tokens / prefill rate)
//
// An attempt holds the memory of its prompt and its longest answer from start
// to end. An attempt over a group of g engines prefills at g times the rate,
// and a member prefills its own attempts at half its rate meanwhile. Blocks of
// prompts stay in the prefix cache as long as memory lasts.
//
// All types work in real time and inside a testing/synctest bubble. Faults are
// set at run time.
package standin
