// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package config

import (
	"fmt"
	"testing"
)

// FuzzParse guards against panics on malformed files, and against accepted files that can't be
// indexed.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("format = 1"))
	f.Add([]byte("[[tiers]]\nid = \"\"\n[[tiers]]"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		if file, err := Parse(data); err == nil {
			NewView(file, 1)
		}
	})
}

func ExampleParse() {
	_, err := Parse([]byte("format = 1\n[[tiers]]\nid = \"gold\"\nrank = -1\ncolour = \"red\"\n"))
	fmt.Println(err)
	// Output:
	// line 4: tiers[0].rank: must not be below zero
	// line 5: tiers.colour: unknown key
}
