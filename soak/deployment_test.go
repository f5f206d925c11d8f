// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"testing"

	"github.com/matryer/is"
)

// TestRequestID guards against a request of another soak that is taken for one of this soak.
func TestRequestID(t *testing.T) {
	is := is.New(t)
	a := &Deployment{
		dir: "/tmp/" + dirPrefix + "17",
	}
	b := &Deployment{
		dir: "/tmp/" + dirPrefix + "18",
	}
	is.Equal(a.requestID("r0-1-2"), "17-r0-1-2")
	is.True(a.requestID("r0-1-2") != b.requestID("r0-1-2"))
}
