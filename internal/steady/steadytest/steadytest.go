// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package steadytest lets tests suspend the machine, as far as package steady knows.
package steadytest

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/linkmast/linkmast/internal/steady"
)

// Host is a machine that a test suspends.
type Host struct {
	suspended atomic.Int64
}

// New returns a machine that has not been suspended. Until the test ends package steady goes
// by it. No other test may run beside it in the process.
func New(t testing.TB) *Host {
	t.Helper()
	m := &Host{}
	before := steady.Suspended()
	t.Cleanup(steady.SetSource(func() (boot, running time.Duration) {
		return steady.StartOffset() + before + time.Duration(m.suspended.Load()), 0
	}))
	return m
}

// Suspend makes a time pass that only the clock knows of which goes on in a suspension.
func (m *Host) Suspend(d time.Duration) {
	m.suspended.Add(int64(d))
}
