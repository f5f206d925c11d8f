// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDrawRetries guards against schedules that are not reproducible or lack a kind of fault.
func TestDrawRetries(t *testing.T) {
	is := is.New(t)
	is.Equal(DrawRetries(7, time.Minute, 4), DrawRetries(7, time.Minute, 4))
	seen := make(map[string]bool)
	for _, s := range DrawRetries(7, time.Minute, 4) {
		seen[s.Kind] = true
	}
	for _, kind := range retryFaults {
		is.True(seen[kind])
	}
}

// TestRetryPeak checks the check of the retry budget, which counts sliding windows and
// takes the requests of the window with the most of them.
func TestRetryPeak(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for _, row := range []struct {
		name     string
		requests int
		// retries is the number of retries at each time, in seconds.
		retries map[float64]int
		broken  bool
	}{
		{"extra", 0, map[float64]int{20: 8}, false},
		{"more than extra", 0, map[float64]int{20: 9}, true},
		{"two windows", 0, map[float64]int{20: 8, 30.1: 8}, false},
		{"one window", 0, map[float64]int{20: 4, 29.9: 5}, true},
		{"share of the requests", 100, map[float64]int{20: 10}, false},
		{"more than the share", 100, map[float64]int{20: 11}, true},
		{"share of the earlier requests", 100, map[float64]int{35: 10}, false},
		{"requests too early", 100, map[float64]int{45: 10}, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			var sent []time.Time
			for range row.requests {
				sent = append(sent, at(19))
			}
			arrivals := make(map[string][]time.Time)
			for s, n := range row.retries {
				for i := range n {
					arrivals[fmt.Sprint(s, i)] = []time.Time{at(s), at(s - 0.01)}
				}
			}
			p := narrowBudget.peak(sent, arrivals)
			is.New(t).Equal(float64(p.retries) > p.allowed, row.broken)
		})
	}
}
