// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDrawStarts guards against schedules that are not reproducible or lack a kind of fault.
func TestDrawStarts(t *testing.T) {
	is := is.New(t)
	a := DrawStarts(7, time.Minute, 4)
	is.Equal(a, DrawStarts(7, time.Minute, 4))
	seen := make(map[string]bool)
	for seed := range uint64(10) {
		for _, s := range DrawStarts(seed, time.Minute, 4) {
			seen[s.Kind] = true
		}
	}
	is.Equal(len(seen), len(startFaults)+2)
}
