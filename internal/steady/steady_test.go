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

// assertClose fails the test unless got is at most one second above want and not below it.
func assertClose(t *testing.T, got, want time.Duration) {
	t.Helper()
	if got < want || got > want+time.Second {
		t.Fatalf("got %v, want %v", got, want)
	}
}

// TestSuspension guards against elapsed times that omit a suspension of the host.
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

// TestKernel guards against a suspension that is detected with the kernel's clocks although
// the host runs.
func TestKernel(t *testing.T) {
	before := steady.Now()
	wall := time.Now()
	time.Sleep(20 * time.Millisecond)
	assertClose(t, steady.Since(before), 20*time.Millisecond)
	is.New(t).True(steady.Since(before)-time.Since(wall) < 10*time.Millisecond)
}

// TestNeverBack guards against time that runs backwards when the clock offset shrinks.
func TestNeverBack(t *testing.T) {
	is := is.New(t)
	offset := steady.StartOffset()
	defer steady.SetSource(func() (boot, running time.Duration) { return offset, 0 })()
	before := steady.Now()
	offset += time.Minute
	after := steady.Now()
	assertClose(t, after.Sub(before), time.Minute)
	offset -= 30 * time.Second
	is.True(!steady.Now().Before(after))
	offset += 500 * time.Microsecond // too little for a suspension
	is.True(steady.Since(after) < time.Second)
}

// TestVirtual guards against a clock that ignores the virtual time of synctest.
func TestVirtual(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := steady.Now()
		time.Sleep(time.Hour)
		is.New(t).Equal(steady.Since(before), time.Hour)
	})
}

// TestWithTimeout guards against a context that outlives its timeout after a suspension.
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
		t.Fatal("context has not ended after the suspension")
	}
}

// BenchmarkNow measures the cost of reading the clock.
func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		steady.Now()
	}
}
