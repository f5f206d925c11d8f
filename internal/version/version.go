// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package version tells which version of the programs this is.
package version

import (
	"runtime/debug"
)

// number is the version of the source.
const number = "0.1.0"

// String returns the version, with the revision when it is known.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return number
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return number + "+" + s.Value
		}
	}
	return number
}
