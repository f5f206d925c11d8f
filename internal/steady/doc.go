// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package steady tells time for leases, ages, allowances and grace: time that no step of the
// time of day moves, and that goes on while the machine is suspended.
//
// The monotonic clock that package time reads (CLOCK_MONOTONIC) stands still in a suspension.
// What is measured by it is younger after one than it is for everybody else: a key that was
// taken away meanwhile would be served, a lease that others have given out again used.
// CLOCK_BOOTTIME counts that time. Now adds to package time's reading what the one clock has
// gained on the other since the process started.
//
// Model: s = b - m, with b read before m, so that the time between the two readings never
// counts as suspended; s is taken over only as it grows by more than a reading's error.
package steady
