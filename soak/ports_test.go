// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"testing"

	"github.com/matryer/is"
)

// TestPortsOfTwoSoaks guards against a port that two soaks hand out, because the instance that it belongs to
// is down.
func TestPortsOfTwoSoaks(t *testing.T) {
	is := is.New(t)
	var soaks [3]ports
	seen := make(map[string]bool)
	for range portsPerBlock + 5 {
		for i := range soaks {
			address, err := soaks[i].address()
			is.NoErr(err)
			is.True(!seen[address])
			seen[address] = true
		}
	}
	for i := range soaks {
		soaks[i].close()
	}
	address, err := soaks[0].address()
	is.NoErr(err)
	is.True(seen[address]) // the blocks are free again
	soaks[0].close()
}
