// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package emulator plays requests against emulated engines in virtual time.
//
// A real pool.Scheduler decides, with the clock of the emulator. The emulator simulates
// what surrounds it:
//
//   - Engines, which work in passes with the cost model of package batch. A pass in which
//     requests decode has StepsPerPass steps. Any other pass has one step, which takes only the
//     time of its prefill. A pass prefills at most Chunk tokens per step. Joint prefills go
//     before other prompts, the latest one first.
//   - Memory: a request waits at its engine until a slot and its memory are free.
//   - Callers, which have targets for the first event and for pauses. They give up at their
//     deadline or when they receive nothing for too long. They send a request a second time
//     after a refusal or when its entry instance is lost, but never a third time.
//   - Messages, each of which takes the delay of the sheet, some with jitter.
//
// The emulator leaves out the platform and all other effects of the network. One scheduler
// serves all entry instances. The loss of an entry instance is simulated by cutting the
// streams of some callers at one moment.
//
// A Sheet describes the workload and the engines. Draw derives the requests of a seed from
// it. They don't depend on any decision, so the outcomes of a request under two policies can
// be compared. Play runs the requests and returns the outcome of each. Bound returns an upper
// bound for all policies.
package emulator
