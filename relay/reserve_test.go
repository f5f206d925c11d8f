// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// unresponsiveMemory is a Memory whose engines never respond.
type unresponsiveMemory struct {
	calls atomic.Int64
}

// Reserve implements Memory.
func (m *unresponsiveMemory) Reserve(ctx context.Context, _, _ string, _ int, _ time.Duration) error {
	m.calls.Add(1)
	<-ctx.Done()
	return ctx.Err()
}

// Free implements Memory.
func (m *unresponsiveMemory) Free(ctx context.Context, _, _ string) error {
	m.calls.Add(1)
	<-ctx.Done()
	return ctx.Err()
}

// TestFreeAllInParallel guards against engines that do not respond delaying the release on the
// others.
func TestFreeAllInParallel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const engines = 16
		m := &unresponsiveMemory{}
		h := &reservations{
			memory: m,
		}
		for i := range engines {
			h.items = append(h.items, reservation{
				address: strconv.Itoa(i),
			})
		}
		began := time.Now()
		h.freeAll()
		is.Equal(m.calls.Load(), int64(engines))
		is.Equal(time.Since(began), reserveTimeout)
	})
}
