// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/platform/platformtest"
)

// The bound on requests to an endpoint that announces a rate limit.
const (
	// The bound applies to windows that end at least limitGrace after the announcement. They may
	// begin before it.
	limitGrace = 3 * time.Second
	// In any window of length limitWindow an endpoint may receive limitFactor times the requests
	// that its limit allows, and limitSlack more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// setRateLimit makes endpoints announce a rate limit in requests per second. An empty one ends it.
func (w *cluster) setRateLimit(rate string, names ...string) {
	for _, name := range names {
		w.endpoints[name].SetFaults(platformtest.EndpointFaults{
			RateLimit: rate,
		})
	}
}

// maxInWindow returns the maximum number of arrivals in any window that ends with an arrival at or
// later than the time after.
func maxInWindow(arrivals []platformtest.Arrival, after time.Time, window time.Duration) int {
	n := 0
	for i, end := range arrivals {
		if end.At.Before(after) {
			continue
		}
		n = max(n, i+1-arrivedBefore(arrivals[:i], end.At.Add(-window)))
	}
	return n
}

// arrivedBefore returns the number of arrivals before a time. The arrivals must be sorted by time.
func arrivedBefore(arrivals []platformtest.Arrival, at time.Time) int {
	n, _ := slices.BinarySearchFunc(arrivals, at, func(a platformtest.Arrival, at time.Time) int { return a.At.Compare(at) })
	return n
}

// assertLimited checks that endpoints that announced a limit at a given time received requests later
// than limitGrace after it, but no more than the bound allows.
func assertLimited(t *testing.T, w *cluster, rate float64, announced time.Time, names ...string) {
	t.Helper()
	allowed := limitFactor*rate*limitWindow.Seconds() + limitSlack
	for _, name := range names {
		arrivals := w.endpoints[name].Arrivals()
		got := maxInWindow(arrivals, announced.Add(limitGrace), limitWindow)
		t.Logf("%s: %d requests in %v, %.0f allowed", name, got, limitWindow, allowed)
		is.New(t).True(float64(got) <= allowed)
		is.New(t).True(got > 0)
	}
}

// TestRateLimitSharedByInstances guards against instances that together exceed an endpoint's rate
// limit.
func TestRateLimitSharedByInstances(t *testing.T) {
	for _, c := range []struct {
		name    string
		path    string
		limited []string
		// none is true if the service has no endpoint without a limit.
		none bool
	}{
		{"one engine of two", "/stream/a", []string{"e1"}, false},
		{"all engines", "/stream/a", []string{"e1", "e2"}, true},
		{"one plain endpoint of two", "/safe/a", []string{"p1"}, false},
		{"all plain endpoints", "/safe/a", []string{"p1", "p2"}, true},
		{"one plain endpoint of two, unsafe requests", "/unsafe/a", []string{"p1"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newCluster(t, 3)
			w.load("before", request{path: c.path, tokens: 500}, time.Second)
			w.setRateLimit("1", c.limited...)
			announced := time.Now()
			rejected := w.load("during", request{path: c.path, tokens: 500}, 8*time.Second)
			assertLimited(t, w, 1, announced, c.limited...)
			if !c.none {
				is.New(t).Equal(len(rejected), 0)
				return
			}
			assertRefusedPromptly(t, rejected)
		})
	}
}

// recoverWithin is the maximum time from the end of a limit until all instances know of it. They
// learn of it from the answers to the requests that the limit still allows.
const recoverWithin = 2 * time.Second

// TestRateLimitEnds guards against requests that are still refused after the limit of all endpoints
// has ended.
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
			w := newCluster(t, 3)
			w.setRateLimit("1", c.limited...)
			during := w.load("during", request{path: c.path, tokens: 500}, 3*time.Second)
			is.New(t).True(len(during) > 0) // the limit was kept
			assertRefusedPromptly(t, during)
			w.setRateLimit("", c.limited...)
			w.load("ending", request{path: c.path, tokens: 500}, recoverWithin)
			is.New(t).Equal(len(w.load("after", request{path: c.path, tokens: 500}, time.Second)), 0)
		})
	}
}
