// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/internal/steady/steadytest"
)

// TestSilentHolderOverSuspension guards against an owner that leaves out the time in which its
// host was suspended when it measures how long a holder has been silent.
func TestSilentHolderOverSuspension(t *testing.T) {
	for _, row := range []struct {
		name      string
		suspended time.Duration
		held      bool
	}{
		{"not suspended", 0, true},
		{"suspended for longer than the bound on silence", 5 * time.Second, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := steadytest.New(t)
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				v := newVirtualFleet(t, smallFleet())
				defer v.stop()
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					v.send(ctx, "n1", "/v1/completions", completionBody("endless", 4000, true), nil)
					close(done)
				}()
				time.Sleep(2 * time.Second)
				is.True(v.heldBytes() > 0)
				v.kill("n1")
				// After this time the owner has found the holder unreachable, but not for long
				// enough to release its lease.
				time.Sleep(2500 * time.Millisecond)
				m.Suspend(row.suspended)
				time.Sleep(1200 * time.Millisecond) // time for one sweep
				is.Equal(v.heldBytes() > 0, row.held)
				cancel()
				<-done
				checkMemoryReleased(t, v)
			})
		})
	}
}
