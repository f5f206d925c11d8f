// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package emulator plays requests against emulated engines in virtual time.
//
// The decisions are those of a real pool.Scheduler, whose clock is the emulator's.
// Emulated are what stands around it:
//
//   - engines that work in passes, by the arithmetic of package batch: with writers a
//     pass plays Stride steps, without them one; it reads at most Chunk tokens a step;
//     parts of prompts that several engines read go first, the latest before the others
//   - memory: a request waits at its engine until its slot and its memory are free
//   - callers, who have targets for the first event and for pauses, leave when nothing
//     comes, come back once after a refusal, and have a cut stream continued
//   - the way between them, a constant delay
//
// Not emulated are the platform, other instances and the network beyond that delay:
// an instance that is lost is a moment at which the streams of some callers end.
//
// A Sheet tells what callers ask for and which engines there are. Draw makes the
// requests of a seed from it, which are the same whatever is decided, so that two
// ways to decide are compared pair by pair. Play runs them and returns what each
// request became. Bound returns what no way to decide can exceed.
package emulator
