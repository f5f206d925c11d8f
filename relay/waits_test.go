// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/route"
)

// TestWaitsLearnAnew looks that what callers name that come back does not keep the
// waits of first tries from being learned later.
func TestWaitsLearnAnew(t *testing.T) {
	is := is.New(t)
	var w waits
	for i := range 3 * maxWaits {
		is.True(!w.common(time.Duration(i)))
	}
	is.True(!w.common(time.Minute))
	is.True(w.common(time.Minute))
}

// TestSpent looks how long ago callers first asked, as far as they tell.
func TestSpent(t *testing.T) {
	for _, row := range []struct {
		name    string
		wait    time.Duration
		timeout time.Duration
		want    time.Duration
	}{
		{"first try", 10 * time.Second, 10 * time.Second, 0},
		{"a little less than the route's time", 9950 * time.Millisecond, 10 * time.Second, 0},
		{"more than the route's time", 4 * time.Second, 2 * time.Second, 0},
		{"has come back", 7 * time.Second, 10 * time.Second, 3 * time.Second},
		{"does not say", 0, 10 * time.Second, 0},
		{"route without a time", 10 * time.Second, 0, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			got := spent(row.wait, &route.Route{
				Timeout: row.timeout,
			})
			is.New(t).Equal(got, row.want)
		})
	}
}
