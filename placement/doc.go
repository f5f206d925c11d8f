// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package placement decides which engines run a request, and with how many
// others each reads the prompt.
//
// It models every engine by package batch: the pass that it is in, what waits
// for the next one, and what writes. Reading R more on an engine makes its next
// pass
//
//	pass = Pass(writers) + waiting reads + R
//
// long. A stream whose pause between events would exceed its bound, or whose
// first event would exceed its target, is late and loses most of its worth. A
// plan's cost is what it makes others lose plus what the request itself loses,
// and the cheapest plan is taken. The worth of a request grows with its prompt.
//
// Decisions are pure: the state of the engines, the request and the time go in,
// a plan with its figures comes out.
package placement
