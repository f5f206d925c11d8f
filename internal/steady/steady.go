// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package steady

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Source reads two clocks: boot includes the time in which the host is suspended, running does
// not.
type Source func() (boot, running time.Duration)

// minSuspension is the smallest growth of the clock offset that counts as suspension. It
// exceeds the drift and jitter between two readings and is far below the durations that
// callers measure.
const minSuspension = time.Millisecond

var (
	// clockSource is the source that is in use.
	clockSource atomic.Pointer[Source]
	// startOffset is the clock offset at the start of the process, and suspended the time for
	// which the host has been suspended since then, in ns.
	startOffset time.Duration
	suspended   atomic.Int64
)

func init() {
	kernel := Source(readKernel)
	clockSource.Store(&kernel)
	startOffset = clockOffset()
}

// readKernel reads CLOCK_BOOTTIME and CLOCK_MONOTONIC. It returns zeros if either is
// unavailable; suspensions are not detected then.
func readKernel() (boot, running time.Duration) {
	var b, m unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &b); err != nil {
		// Without this clock, suspensions cannot be detected.
		return 0, 0
	}
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &m); err != nil {
		return 0, 0
	}
	return time.Duration(b.Nano()), time.Duration(m.Nano())
}

// clockOffset returns how far the boot clock is ahead of the running clock.
func clockOffset() time.Duration {
	boot, running := (*clockSource.Load())()
	return boot - running
}

// Suspended returns how long the host has been suspended since the process started.
func Suspended() time.Duration {
	now := int64(clockOffset() - startOffset)
	for {
		old := suspended.Load()
		if now < old+int64(minSuspension) {
			return time.Duration(old)
		}
		if suspended.CompareAndSwap(old, now) {
			return time.Duration(now)
		}
	}
}

// Now returns the current time of this clock. Only differences between times of this package
// are meaningful; the result is not the time of day.
func Now() time.Time {
	suspended := Suspended()
	return time.Now().Add(suspended)
}

// Since returns the time elapsed since t, a time returned by Now.
func Since(t time.Time) time.Duration {
	return Now().Sub(t)
}

// Until returns the time remaining until t, a time derived from Now.
func Until(t time.Time) time.Duration {
	return t.Sub(Now())
}

// pollInterval is how often WithTimeout checks for an expiry caused by a suspension.
const pollInterval = 50 * time.Millisecond

// WithTimeout is like context.WithTimeout but measures d with this package's clock: if d has
// passed only because of suspensions, the context ends within pollInterval of the resumption,
// with the error context.Canceled. WithTimeout runs a goroutine until the context ends.
func WithTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	began := Now()
	ctx, cancel := context.WithTimeout(ctx, d)
	go func() {
		tick := time.NewTicker(pollInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			if Since(began) >= d {
				cancel()
			}
		}
	}()
	return ctx, cancel
}

// StartOffset returns the offset of the kernel's clocks when the process started, for tests.
func StartOffset() time.Duration {
	return startOffset
}

// SetSource replaces the source of the clock readings until restore is called, for tests. The
// function restore also restores the suspended time.
func SetSource(s Source) (restore func()) {
	old, oldSuspended := clockSource.Load(), suspended.Load()
	clockSource.Store(&s)
	return func() {
		clockSource.Store(old)
		suspended.Store(oldSuspended)
	}
}
