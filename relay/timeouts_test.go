// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/route"
)

// firstTry is the timeout of first tries in these tests.
const firstTry = 10 * time.Second

// TestTimeoutsForgotten guards against a table so full of returning callers' timeouts that
// those of first tries are no longer learned.
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

// TestDetectReturningCallers guards against returning callers that are not detected, and
// against first tries that are taken for returning ones.
func TestDetectReturningCallers(t *testing.T) {
	t.Run("first tries share a timeout", func(t *testing.T) {
		is := is.New(t)
		var w timeoutTracker
		for range 7 {
			_, returns := w.observe(firstTry)
			is.True(!returns)
		}
		_, returns := w.observe(7123 * time.Millisecond)
		is.True(returns)
	})
	t.Run("half of the callers return", func(t *testing.T) {
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
	t.Run("first tries differ", func(t *testing.T) {
		is := is.New(t)
		var w timeoutTracker
		r := rand.New(rand.NewPCG(1, 1))
		known := 0
		for range 2000 {
			if _, returns := w.observe(7500*time.Millisecond + time.Duration(r.IntN(2500))*time.Millisecond); returns {
				known++
			}
		}
		is.True(known < 20) // without minRepeatShare each new timeout would count
	})
}

// TestTimeSpent guards against a wrong estimate of the time that a returning caller has already
// spent.
func TestTimeSpent(t *testing.T) {
	for _, row := range []struct {
		name    string
		wait    time.Duration
		timeout time.Duration
		want    time.Duration
	}{
		{"first try", 10 * time.Second, 10 * time.Second, 0},
		{"slightly below the route's timeout", 9950 * time.Millisecond, 10 * time.Second, 0},
		{"above the route's timeout", 4 * time.Second, 2 * time.Second, 0},
		{"returning", 7 * time.Second, 10 * time.Second, 3 * time.Second},
		{"no timeout", 0, 10 * time.Second, 0},
		{"route without a timeout", 10 * time.Second, 0, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			got := timeSpent(row.wait, &route.Route{
				Timeout: row.timeout,
			})
			is.New(t).Equal(got, row.want)
		})
	}
}
