// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package experiment compares ways to decide on emulated days.
//
// A Plan names sheets, seeds, loads and variants. Run plays each variant on the same
// requests of the same seeds (package emulator), and takes the difference of each to the
// first one pair by pair: what the seeds have in common drops out, so that a few tens of
// them tell 0.005 apart. The bound of each sheet is what no way to decide exceeds.
package experiment
