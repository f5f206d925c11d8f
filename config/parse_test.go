// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// valid is a small valid file.
const valid = `format = 1
[limits]
max_deadline = "10m"
[[regions]]
id = "r1"
[[failure_domains]]
id = "d1"
region = "r1"
[[tiers]]
id = "gold"
rank = 0
[[customers]]
id = "club"
tier = "gold"
key_sha256 = ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]
[[models]]
id = "m1"
kv_bytes_per_token = 1024
max_prompt_tokens = 1000000
[[adapters]]
id = "m1-desk"
model = "m1"
[[endpoints]]
id = "e1"
kind = "engine"
address = "10.0.0.1:8000"
failure_domain = "d1"
model = "m1"
memory_bytes = 400000000
prefill_tokens_per_second = 40000.0
[[endpoints]]
id = "s1"
kind = "plain"
address = "10.0.0.2:8000"
failure_domain = "d1"
service = "lots"
`

// TestParseAccepts guards against the rejection of a valid file and against missing defaults.
func TestParseAccepts(t *testing.T) {
	is := is.New(t)
	f, err := Parse([]byte(valid))
	is.NoErr(err)
	is.Equal(f.Models[0].MaxOutputTokens, defaultMaxOutput)
	is.Equal(len(f.Endpoints), 2)
}

// TestParseRefuses guards against the acceptance of invalid files, and against problems that
// have a wrong line or are not all reported.
func TestParseRefuses(t *testing.T) {
	for _, c := range []struct {
		name     string
		old, new string
		line     int
		reason   string
	}{
		{"unknown key", `rank = 0`, "rank = 0\ncolour = 1", 12, "unknown key"},
		{"unknown tier", `tier = "gold"`, `tier = "tin"`, 14, `tier "tin", which does not exist`},
		{"unknown failure domain", `failure_domain = "d1"`, `failure_domain = "d9"`, 27, `failure domain "d9"`},
		{"unknown model", "id = \"m1-desk\"\nmodel = \"m1\"", "id = \"m1-desk\"\nmodel = \"m2\"", 22, `model "m2"`},
		{"duplicate id", `id = "s1"`, `id = "e1"`, 32, "is used more than once"},
		{"duplicate address", `10.0.0.2`, `10.0.0.1`, 34, "is also the address of"},
		{"upper-case hash", `"aaaa`, `"AAAA`, 15, "lower-case hex"},
		{"address without a port", `address = "10.0.0.1:8000"`, `address = "10.0.0.1"`, 26, "not a host and port"},
		{"no memory", `memory_bytes = 400000000`, `memory_bytes = 0`, 29, "above zero"},
		{"memory for less than one token", `memory_bytes = 400000000`, `memory_bytes = 1000`, 29, "is too small for one token"},
		{"other format", `format = 1`, `format = 2`, 1, "supports format 1"},
		{"unknown kind", `kind = "plain"`, `kind = "odd"`, 33, `must be "engine" or "plain"`},
		{"default above maximum", `max_deadline = "10m"`, `max_deadline = "1m"`, 2, "above max_deadline"},
		{"not TOML", `[limits]`, `[limits`, 2, "toml"},
		{"negative duration", `max_deadline = "10m"`, `max_deadline = "-1m"`, 3, "above zero"},
	} {
		t.Run(c.name, func(t *testing.T) {
			wantProblem(t, strings.Replace(valid, c.old, c.new, 1), c.line, c.reason)
		})
	}
	t.Run("too large", func(t *testing.T) {
		wantProblem(t, valid+strings.Repeat("#", MaxBytes), 0, "the limit is")
	})
	t.Run("all at once", func(t *testing.T) {
		is := is.New(t)
		text := strings.Replace(valid, `rank = 0`, "rank = -1\ncolour = 1", 1)
		_, err := Parse([]byte(strings.Replace(text, `region = "r1"`, `region = "r2"`, 1)))
		var v *Invalid
		is.True(errors.As(err, &v))
		is.Equal(len(v.Problems), 3)
	})
}

// wantProblem fails the test unless the file is rejected with a problem that has the given line
// and contains the given reason.
func wantProblem(t *testing.T, text string, line int, reason string) {
	t.Helper()
	_, err := Parse([]byte(text))
	var v *Invalid
	if !errors.As(err, &v) {
		t.Fatalf("file was not rejected, error is %v", err)
	}
	for _, p := range v.Problems {
		if p.Line == line && strings.Contains(p.Reason, reason) {
			return
		}
	}
	t.Fatalf("no problem %q at line %d in:\n%v", reason, line, err)
}

// TestLinesOfLargeFile checks the line of a problem at the end of a large file. If the time to find
// lines grew with the square of the file's size, the test would be slow.
func TestLinesOfLargeFile(t *testing.T) {
	var b strings.Builder
	b.WriteString(valid)
	const n = 10_000
	for i := range n {
		fmt.Fprintf(&b, "[[endpoints]]\nid = \"x%d\"\nkind = \"plain\"\naddress = \"10.1.0.1:%d\"\nfailure_domain = \"d1\"\nservice = \"lots\"\n",
			i, i+1)
	}
	b.WriteString("[[tiers]]\nid = \"last\"\nrank = -1\n")
	lines := strings.Count(b.String(), "\n")
	wantProblem(t, b.String(), lines, "must not be below zero")
}

// TestAuthenticate guards against a valid key that is rejected, and against the acceptance of
// similar keys or of the key's hash.
func TestAuthenticate(t *testing.T) {
	is := is.New(t)
	sum := sha256.Sum256([]byte("key-desk"))
	text := strings.Replace(valid, strings.Repeat("a", 64), hex.EncodeToString(sum[:]), 1)
	f, err := Parse([]byte(text))
	is.NoErr(err)
	v := NewView(f, 1)
	c, ok := v.Authenticate("key-desk")
	is.True(ok)
	is.Equal(c.ID, "club")
	for _, wrong := range []string{"", "key-des", "key-desk ", hex.EncodeToString(sum[:])} {
		_, ok := v.Authenticate(wrong)
		is.True(!ok)
	}
}

// TestDiff guards against missing or wrong lines in the difference of two files.
func TestDiff(t *testing.T) {
	is := is.New(t)
	is.Equal(Diff("a\nb\nc\nd", "a\nx\nc\nd"), []string{"-b", "+x"})
	is.Equal(Diff("a\nb", "a\nb"), []string(nil))
	is.Equal(Diff("a\nb\nc", "a\nc"), []string{"-b"})
}
