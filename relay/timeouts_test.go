// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/route"
)

// firstTry is the time that first tries name in these tests.
const firstTry = 10 * time.Second

// TestTimeoutsForgotten looks that what callers name that come back does not keep the
// waits of first tries from being learned later.
func TestTimeoutsForgotten(t *testing.T) {
	is := is.New(t)
	var w timeoutTracker
	for i := range 3 * maxTimeouts {
		common, _ := w.observe(time.Duration(i))
		is.True(!common)
	}
	w.observe(firstTry)
	common, _ := w.observe(firstTry)
	is.True(common)
}

// TestDetectReturningCallers looks whether callers are known to come back by the time that they name.
func TestDetectReturningCallers(t *testing.T) {
	t.Run("first tries name the same", func(t *testing.T) {
		is := is.New(t)
		var w timeoutTracker
		for range 7 {
			_, returns := w.observe(firstTry)
			is.True(!returns)
		}
		_, returns := w.observe(7123 * time.Millisecond)
		is.True(returns)
	})
	t.Run("half of the callers have come back", func(t *testing.T) {
		is := is.New(t)
		var w timeoutTracker
		for i := range 200 {
			_, returns := w.observe(firstTry)
			is.True(!returns)
			if i > 50 {
				_, returns = w.observe(5*time.Second + time.Duration(i)*time.Millisecond)
				is.True(returns)
			}
		}
	})
	t.Run("first tries name all kinds of times", func(t *testing.T) {
		is := is.New(t)
		var w timeoutTracker
		r := rand.New(rand.NewPCG(1, 1))
		known := 0
		for range 2000 {
			if _, returns := w.observe(7500*time.Millisecond + time.Duration(r.IntN(2500))*time.Millisecond); returns {
				known++
			}
		}
		is.True(known < 20) // all but the first when each other time counts
	})
}

// TestTimeSpent looks how much less than the route allows callers name.
func TestTimeSpent(t *testing.T) {
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
			got := timeSpent(row.wait, &route.Route{
				Timeout: row.timeout,
			})
			is.New(t).Equal(got, row.want)
		})
	}
}
