// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/pool"
)

// TestSlowdownQueriesInLargePool checks that the slow engines among many are found quickly
// after one of them deviates, with few queries in total and a bounded number at a time.
func TestSlowdownQueriesInLargePool(t *testing.T) {
	const (
		engines = 1000
		// atOnce bounds the queries of one update.
		atOnce = 64
		within = 2 * time.Second
		step   = 25 * time.Millisecond
	)
	for _, row := range []struct {
		name string
		slow int
		// most bounds the queries until the slow engines are known.
		most int
	}{
		{"one is slow", 1, 1 + atOnce},
		{"a third is slow", engines / 3, 4 * engines},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			f := newSlowdownHarness(t, engines, pool.SlowdownQueriedOrEstimated)
			for i := range row.slow {
				f.reports[fmt.Sprint("e", i*engines/row.slow)] = 3
			}
			f.serve(f.requestFor("e0"), 3, 0)
			queries := func() int {
				n := 0
				for _, times := range f.queries {
					n += times
				}
				return n
			}
			took := time.Duration(0)
			for ; took < within && f.stats().Slow < row.slow; took += step {
				before := queries()
				f.advance(step)
				f.pool.Submit(soloPrompt())
				is.True(queries()-before <= atOnce)
				f.deliver()
			}
			// Queries the engines that are still unsure.
			f.advance(step)
			f.pool.Submit(soloPrompt())
			t.Logf("%d queries, %d engines known to be slow after %v", queries(), f.stats().Slow, took)
			is.Equal(f.stats().Slow, row.slow)
			is.True(queries() <= row.most)
		})
	}
}
