// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package steady

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Source reads the clocks: one that counts the time in which the machine is suspended, and
// one that doesn't, in this order.
type Source func() (boot, running time.Duration)

// minSuspension is the least gain of one clock on the other that counts: more than the
// clocks' adjustment to the true second brings in a reading's time, and less than any bound
// that is measured.
const minSuspension = time.Millisecond

var (
	// clockSource reads the clocks.
	clockSource atomic.Pointer[Source]
	// startOffset is the gain at the startOffset of the process, and gained the one since then, in ns.
	startOffset time.Duration
	suspended   atomic.Int64
)

func init() {
	kernel := Source(readKernel)
	clockSource.Store(&kernel)
	startOffset = clockOffset()
}

// readKernel reads the kernel's clocks.
func readKernel() (boot, running time.Duration) {
	var b, m unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &b); err != nil {
		// Without that clock nothing is known of suspensions.
		return 0, 0
	}
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &m); err != nil {
		return 0, 0
	}
	return time.Duration(b.Nano()), time.Duration(m.Nano())
}

// clockOffset returns how far the one clock is before the other.
func clockOffset() time.Duration {
	boot, running := (*clockSource.Load())()
	return boot - running
}

// Suspended returns for how long the machine was suspended since the process started.
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

// Now returns a moment. Only its distance to other moments of this package means anything;
// it is no time of day.
func Now() time.Time {
	suspended := Suspended()
	return time.Now().Add(suspended)
}

// Since returns the time since a moment.
func Since(t time.Time) time.Duration {
	return Now().Sub(t)
}

// Until returns the time until a moment.
func Until(t time.Time) time.Duration {
	return t.Sub(Now())
}

// pollInterval is how often WithTimeout looks whether the machine was suspended.
const pollInterval = 50 * time.Millisecond

// WithTimeout is context.WithTimeout by this package's time: after a suspension it ends
// within lookEvery of its moment. It costs a goroutine.
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

// StartOffset returns how far the one clock was before the other when the process started. It is
// for tests.
func StartOffset() time.Duration {
	return startOffset
}

// SetSource has the clocks read by another source, until restore is called. It is for tests.
func SetSource(s Source) (restore func()) {
	old, oldGain := clockSource.Load(), suspended.Load()
	clockSource.Store(&s)
	return func() {
		clockSource.Store(old)
		suspended.Store(oldGain)
	}
}
