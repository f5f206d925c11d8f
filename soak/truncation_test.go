// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDrawTruncations guards against schedules that are not reproducible or lack a kind of fault.
func TestDrawTruncations(t *testing.T) {
	is := is.New(t)
	a := DrawTruncations(7, time.Minute)
	is.Equal(a, DrawTruncations(7, time.Minute))
	seen := make(map[string]bool)
	for seed := range uint64(10) {
		for _, s := range DrawTruncations(seed, time.Minute) {
			seen[s.Kind] = true
		}
	}
	is.Equal(len(seen), len(truncationFaults))
}

// TestCrashesAtOneTime guards against two faults that begin together and send requests with the same ID.
func TestCrashesAtOneTime(t *testing.T) {
	is := is.New(t)
	a := Fault{
		At:   firstFault,
		Kind: requestCrashes,
	}
	b := Fault{
		At:   firstFault,
		Kind: unframedCrash,
	}
	is.True(a.crashID(0) != b.crashID(0))
	is.True(a.crashID(0) != a.crashID(1))
	is.True(a.crashBody() != b.crashBody())
	is.True(strings.HasPrefix(b.crashBody(), crashBody))
}
