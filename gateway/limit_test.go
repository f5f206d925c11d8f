// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/platform/platformtest"
)

// The bound on requests to an endpoint that names a rate limit, as its operators state it.
const (
	// limitGrace is how long after the limit was first named the bound holds.
	limitGrace = 3 * time.Second
	// limitWindow is the time in which requests are counted, limitFactor how many times as
	// many as the limit allows may come in it, and limitSlack how many more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limit makes endpoints name a rate limit.
func (w *world) limit(rate string, names ...string) {
	for _, name := range names {
		w.endpoints[name].SetFaults(platformtest.EndpointFaults{
			RateLimit: rate,
		})
	}
}

// most returns the greatest number of arrivals in some window that ends after a moment.
func most(arrivals []platformtest.Arrival, after time.Time, window time.Duration) int {
	n := 0
	for i, end := range arrivals {
		if end.At.Before(after) {
			continue
		}
		n = max(n, i+1-arrivedBefore(arrivals[:i], end.At.Add(-window)))
	}
	return n
}

// arrivedBefore returns how many requests arrived before a moment.
func arrivedBefore(arrivals []platformtest.Arrival, at time.Time) int {
	n, _ := slices.BinarySearchFunc(arrivals, at, func(a platformtest.Arrival, at time.Time) int { return a.At.Compare(at) })
	return n
}

// assertLimited checks that endpoints got no more than the limit that they named at a moment
// allows, and that each of them was still used.
func assertLimited(t *testing.T, w *world, rate float64, named time.Time, names ...string) {
	t.Helper()
	allowed := limitFactor*rate*limitWindow.Seconds() + limitSlack
	for _, name := range names {
		arrivals := w.endpoints[name].Arrivals()
		got := most(arrivals, named.Add(limitGrace), limitWindow)
		t.Logf("%s: %d requests in %v, %.0f allowed", name, got, limitWindow, allowed)
		is.New(t).True(float64(got) <= allowed)
		is.New(t).True(got > 0)
	}
}

// TestRateLimitSharedByInstances guards against endpoints that name a rate limit and get more.
func TestRateLimitSharedByInstances(t *testing.T) {
	for _, c := range []struct {
		name    string
		path    string
		limited []string
		// none states that no endpoint of the service is without a limit.
		none bool
	}{
		{"one engine of two", "/stream/a", []string{"e1"}, false},
		{"all engines", "/stream/a", []string{"e1", "e2"}, true},
		{"one plain endpoint of two", "/safe/a", []string{"p1"}, false},
		{"all plain endpoints", "/safe/a", []string{"p1", "p2"}, true},
		{"requests that run once", "/unsafe/a", []string{"p1"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 3)
			w.load("before", call{path: c.path, tokens: 500}, time.Second)
			w.limit("1", c.limited...)
			named := time.Now()
			rejected := w.load("during", call{path: c.path, tokens: 500}, 8*time.Second)
			assertLimited(t, w, 1, named, c.limited...)
			if !c.none {
				is.New(t).Equal(len(rejected), 0)
				return
			}
			assertRefusedAtOnce(t, rejected)
		})
	}
}

// endSeenWithin is how soon after its limit has ended an endpoint must be used as before: one
// request each second tells.
const endSeenWithin = 2 * time.Second

// TestRateLimitEnds looks that endpoints whose limit has ended are soon used as before.
func TestRateLimitEnds(t *testing.T) {
	for _, c := range []struct {
		name    string
		path    string
		limited []string
	}{
		{"engines", "/stream/a", []string{"e1", "e2"}},
		{"plain", "/safe/a", []string{"p1", "p2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 3)
			w.limit("1", c.limited...)
			w.load("during", call{path: c.path, tokens: 500}, 3*time.Second)
			w.limit("", c.limited...)
			w.load("ending", call{path: c.path, tokens: 500}, endSeenWithin)
			is.New(t).Equal(len(w.load("after", call{path: c.path, tokens: 500}, time.Second)), 0)
		})
	}
}
