// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package standin provides simple simulations of the systems around the serving layer: model
// engines, plain services, and the platform's log, list of instances and weight store. The
// demo, the load tool and the contract tests use them.
//
// An Engine simulates continuous batching in steps. A step appends one token to each attempt
// that decodes, and prefills up to ChunkTokens tokens of the other attempts in order of
// priority and arrival:
//
//	step time = max(DecodeStep if any attempt decodes, prefill tokens / prefill rate)
//
// An attempt holds memory for its prompt and for MaxTokens tokens of answer from start to end.
// In a joint prefill by g engines, the engine that runs the attempt prefills it at g times the
// rate and holds the memory of 1/g of its prompt. The helpers hold only the memory that was
// reserved on them. While an engine holds a reservation, it prefills its own attempts at half
// the rate. Blocks of prompts stay in the prefix cache while memory is free.
//
// All types run in real time or inside a testing/synctest bubble. Faults can be changed at run
// time.
package standin
