// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// TestChecksBounded guards against more concurrent checks than maxConcurrentChecks, and against a
// check of a large pool that takes too long or skips endpoints.
func TestChecksBounded(t *testing.T) {
	const endpoints = 1000
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var checked, open, most atomic.Int64
		s := NewScheduler(Settings{
			Check: func(ctx context.Context, _ string) error {
				n := checked.Add(1)
				most.Store(max(most.Load(), open.Add(1)))
				defer open.Add(-1)
				time.Sleep(time.Millisecond)
				if n%2 == 0 {
					<-ctx.Done()
				}
				return ctx.Err()
			},
		}, logr.Discard())
		addresses := make(map[string]string)
		for i := range endpoints {
			addresses[fmt.Sprint("e", i)] = fmt.Sprint("e", i, ":1")
		}
		began := time.Now()
		failed := s.runChecks(addresses)
		is.Equal(checked.Load(), int64(endpoints))
		is.Equal(len(failed), endpoints/2)
		is.True(most.Load() <= maxConcurrentChecks)
		is.True(time.Since(began) <= endpoints/maxConcurrentChecks*checkTimeout+checkTimeout)
	})
}
