// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"testing"

	"github.com/matryer/is"
)

// TestIdentify changes one part of a request at a time.
func TestIdentify(t *testing.T) {
	base := Identify("/a/b?x=1", "c1", []byte("body"))
	for _, row := range []struct {
		name     string
		target   string
		customer string
		body     string
		same     bool
	}{
		{"the same", "/a/b?x=1", "c1", "body", true},
		{"another path", "/a/c?x=1", "c1", "body", false},
		{"another query", "/a/b?x=2", "c1", "body", false},
		{"another customer", "/a/b?x=1", "c2", "body", false},
		{"another body", "/a/b?x=1", "c1", "bodY", false},
		{"a part moved to the next one", "/a/b?x=1c", "1", "body", false},
		{"no body", "/a/b?x=1", "c1", "", false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Identify(row.target, row.customer, []byte(row.body)) == base, row.same)
		})
	}
}

// BenchmarkIdentify takes the identity of a body of a prompt of 5,000 tokens, 20 KB.
func BenchmarkIdentify(b *testing.B) {
	body := make([]byte, 20<<10)
	for b.Loop() {
		Identify("/stream/a", "c1", body)
	}
}
