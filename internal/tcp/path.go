// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package tcp

import "github.com/go-faster/errors"

// ErrNoPath is the cause of a failed dial that says nothing about the address: neither this
// instance nor the others that it asked can reach any endpoint.
var ErrNoPath = errors.New("no path to endpoints")
