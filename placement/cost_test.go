// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPauseLoss checks that a pause of more than 250 ms costs a stream its stake, and one of more
// than two seconds all its worth.
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
