// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"testing"

	"github.com/matryer/is"
)

// TestIdentify guards against different requests with the same identity.
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
		{"a character moved to the next part", "/a/b?x=1c", "1", "body", false},
		{"no body", "/a/b?x=1", "c1", "", false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Identify(row.target, row.customer, []byte(row.body)) == base, row.same)
		})
	}
}

// TestIdentifyPart guards against parts that are mistaken for each other or for a request.
func TestIdentifyPart(t *testing.T) {
	is := is.New(t)
	base := IdentifyPart("engines", "5c1e")
	is.Equal(IdentifyPart("engines", "5c1e"), base)
	is.True(IdentifyPart("engines", "5c1f") != base)
	is.True(IdentifyPart("other", "5c1e") != base)
	is.True(IdentifyPart("engines5", "c1e") != base)
	is.True(Identify("engines", "", []byte("5c1e")) != base)
}

// BenchmarkIdentify identifies a request with a body of 20 KB, about 5,000 tokens.
func BenchmarkIdentify(b *testing.B) {
	body := make([]byte, 20<<10)
	for b.Loop() {
		Identify("/stream/a", "c1", body)
	}
}
