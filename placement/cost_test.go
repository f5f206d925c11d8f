// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPauseLoss checks the loss of a stream that allows pauses of 250 ms: nothing by a clearly
// shorter pause, its stake by a clearly longer one, and all its worth by one of more than two
// seconds.
func TestPauseLoss(t *testing.T) {
	j := Job{
		Gap:       250 * time.Millisecond,
		Stake:     0.75,
		LateWorth: 0.25,
	}
	for _, row := range []struct {
		pause time.Duration
		want  float64
	}{
		{200 * time.Millisecond, 0},
		{300 * time.Millisecond, 0.75},
		{1900 * time.Millisecond, 0.75},
		{2100 * time.Millisecond, 1},
	} {
		t.Run(row.pause.String(), func(t *testing.T) {
			is := is.New(t)
			is.Equal(j.pauseLoss(row.pause), row.want)
		})
	}
}
