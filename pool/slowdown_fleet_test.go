// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/pool"
)

// TestPaceOfMany has some of many engines become slow. The event of one tells it; the others are
// found out by questions, few where only one is slow, and never more at a moment than an owner
// bears: with 3,000 engines, asking all at once took it 5,005 connections and 195 MB; 334 and 48 now.
func TestPaceOfMany(t *testing.T) {
	const (
		engines = 1000
		// atOnce is how many engines may be asked at a moment.
		atOnce = 64
		within = 2 * time.Second
		step   = 25 * time.Millisecond
	)
	for _, row := range []struct {
		name string
		slow int
		// most is how many questions may be asked before the slow ones are known.
		most int
	}{
		{"one is slow", 1, 1 + atOnce},
		{"a third is slow", engines / 3, 4 * engines},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			f := newPacePool(t, engines, pool.SlowdownQueriedOrEstimated)
			for i := range row.slow {
				f.tells[fmt.Sprint("e", i*engines/row.slow)] = 3
			}
			f.serve(f.on("e0"), 3, 0)
			asked := func() int {
				n := 0
				for _, times := range f.asked {
					n += times
				}
				return n
			}
			took := time.Duration(0)
			for ; took < within && f.figures().Slow < row.slow; took += step {
				before := asked()
				f.rest(step)
				f.pool.Submit(ownPrompt())
				is.True(asked()-before <= atOnce)
				f.answer()
			}
			// What is doubted still is asked about, too.
			f.rest(step)
			f.pool.Submit(ownPrompt())
			t.Logf("%d questions, %d engines known to be slow after %v", asked(), f.figures().Slow, took)
			is.Equal(f.figures().Slow, row.slow)
			is.True(asked() <= row.most)
		})
	}
}
