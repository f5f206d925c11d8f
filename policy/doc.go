// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package policy decides where a request runs, in what order, and when it is
// refused. It knows no clock and no network: state and request go in, and a
// decision with its reason comes out.
//
// The model of an engine: prompts are prefilled at a rate R in tokens a
// second, in order of priority; every attempt whose prompt is done gets a
// token in each step of time D. An attempt of p prompt tokens, h of them
// cached, and at most o answer tokens has
//
//	prefill P = (p-h)/R
//	work    W = P + o·D
//
// A priority is a tier's rank and, within it, a class of prompt length: tiers
// go first, then shorter classes. Ageing raises the rank by one for each
// MaxWait that a request has waited, which bounds how long it can be passed
// over.
package policy
