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

// TestSilentHolderOverSuspension suspends the machine of an owner that has begun to wait for the
// sign of a holder that is gone: the time counts for its lease.
func TestSilentHolderOverSuspension(t *testing.T) {
	for _, row := range []struct {
		name      string
		suspended time.Duration
		held      bool
	}{
		{"not suspended", 0, true},
		{"suspended for longer than a holder may be silent", 5 * time.Second, false},
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
				// Its owner has asked in vain by then, for less time than a holder may be silent.
				time.Sleep(2500 * time.Millisecond)
				m.Suspend(row.suspended)
				time.Sleep(1200 * time.Millisecond) // a sweep
				is.Equal(v.heldBytes() > 0, row.held)
				cancel()
				<-done
				checkMemoryReleased(t, v)
			})
		})
	}
}
