// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package version provides the version of the programs.
package version

import (
	"runtime/debug"
)

// number is the semantic version of the source.
const number = "0.1.0"

// String returns the version, followed by "+" and the VCS revision if the build recorded one.
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
