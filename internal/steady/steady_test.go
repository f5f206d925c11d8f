// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package steady_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/internal/steady/steadytest"
)

// assertClose checks that a time is as wanted but for what reading the clocks takes.
func assertClose(t *testing.T, got, want time.Duration) {
	t.Helper()
	if got < want || got > want+time.Second {
		t.Fatalf("got %v, want %v", got, want)
	}
}

// TestSuspension measures a time in which the machine is suspended.
func TestSuspension(t *testing.T) {
	m := steadytest.New(t)
	before := steady.Now()
	assertClose(t, steady.Since(before), 0)
	m.Suspend(20 * time.Second)
	assertClose(t, steady.Since(before), 20*time.Second)
	m.Suspend(5 * time.Second)
	assertClose(t, steady.Since(before), 25*time.Second)
	assertClose(t, -steady.Until(before), 25*time.Second)
}

// TestKernel reads the kernel's clocks: they don't part while the machine runs.
func TestKernel(t *testing.T) {
	before := steady.Now()
	wall := time.Now()
	time.Sleep(20 * time.Millisecond)
	assertClose(t, steady.Since(before), 20*time.Millisecond)
	is.New(t).True(steady.Since(before)-time.Since(wall) < 10*time.Millisecond)
}

// TestNeverBack looks that a reading that was late, so that the clocks seem to have come closer,
// takes no time back.
func TestNeverBack(t *testing.T) {
	is := is.New(t)
	gain := steady.StartOffset()
	defer steady.SetSource(func() (boot, running time.Duration) { return gain, 0 })()
	before := steady.Now()
	gain += time.Minute
	after := steady.Now()
	assertClose(t, after.Sub(before), time.Minute)
	gain -= 30 * time.Second
	is.True(!steady.Now().Before(after))
	gain += 500 * time.Microsecond // no suspension
	is.True(steady.Since(after) < time.Second)
}

// TestVirtual goes by the virtual time of tests.
func TestVirtual(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := steady.Now()
		time.Sleep(time.Hour)
		is.New(t).Equal(steady.Since(before), time.Hour)
	})
}

// TestWithTimeout ends a context after a suspension.
func TestWithTimeout(t *testing.T) {
	is := is.New(t)
	m := steadytest.New(t)
	ctx, cancel := steady.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	time.Sleep(100 * time.Millisecond)
	is.NoErr(ctx.Err())
	m.Suspend(time.Minute)
	select {
	case <-ctx.Done():
	case <-time.After(2 * time.Second):
		t.Fatal("it goes on")
	}
}

// BenchmarkNow reads the clocks.
func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		steady.Now()
	}
}
