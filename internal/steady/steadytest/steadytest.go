// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package steadytest simulates suspensions of the host for package steady.
package steadytest

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/linkmast/linkmast/internal/steady"
)

// Host simulates a host that a test can suspend.
type Host struct {
	suspended atomic.Int64
}

// New makes package steady read the clocks of a simulated host until the test ends. This affects
// the whole process, so no other test that uses package steady may run in parallel.
func New(t testing.TB) *Host {
	t.Helper()
	m := &Host{}
	before := steady.Suspended()
	t.Cleanup(steady.SetSource(func() (boot, running time.Duration) {
		return steady.StartOffset() + before + time.Duration(m.suspended.Load()), 0
	}))
	return m
}

// Suspend simulates a suspension of length d: the boot clock advances while the running clock
// does not.
func (m *Host) Suspend(d time.Duration) {
	m.suspended.Add(int64(d))
}
