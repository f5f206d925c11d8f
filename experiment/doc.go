// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package experiment compares policies on emulated days.
//
// A Plan names sheets, seeds, loads and variants of the scheduler's settings. Run plays all
// variants on the requests of the same seeds with package emulator. It subtracts the scores
// of the first variant seed by seed, which removes the variation that the variants share,
// so that few seeds suffice to detect a small gain. A plan may add the upper bound for all
// policies, which package emulator computes.
package experiment
