// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package tcp

import (
	"syscall"

	"github.com/go-faster/errors"
)

// ErrNoPath is the cause of a failed dial that says nothing about the address: none of the instances
// that were asked reaches any endpoint of its service.
var ErrNoPath = errors.New("no path to endpoints")

// Inconclusive reports whether the error of a dial leaves open whether the address accepts
// connections: there is no path to endpoints, and the connection was not refused.
func Inconclusive(err error) bool {
	return errors.Is(err, ErrNoPath) && !errors.Is(err, syscall.ECONNREFUSED)
}
