// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package steady provides a clock for leases, ages, rate limits and grace periods. Steps of
// the wall clock do not affect it, and it keeps running while the host is suspended.
//
// The monotonic clock of package time (CLOCK_MONOTONIC) stops during a suspension, so
// durations measured with it are too short afterwards: an instance would accept a key that was
// revoked meanwhile, or use a lease that has already been granted to another instance.
// CLOCK_BOOTTIME includes the suspension. Now adds to time.Now the amount by which
// CLOCK_BOOTTIME has advanced further than CLOCK_MONOTONIC since the process started.
//
// The offset of the clocks is b - m, where b is a reading of CLOCK_BOOTTIME and m a later one of
// CLOCK_MONOTONIC. A delay between the two readings therefore makes the offset smaller, never
// larger. The suspended time grows only if the offset grows by at least minSuspension, and it
// never shrinks.
package steady
