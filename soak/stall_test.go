// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReadWaitTime guards against wrong waiting times and against malformed schedstat files
// being accepted.
func TestReadWaitTime(t *testing.T) {
	for _, row := range []struct {
		name   string
		text   string
		waited time.Duration
		ok     bool
	}{
		{"valid", "648981915 95941537 1337\n", 95941537 * time.Nanosecond, true},
		{"empty", "", 0, false},
		{"not a number", "1 x 2\n", 0, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "schedstat")
			is.NoErr(os.WriteFile(path, []byte(row.text), 0o600))
			waited, ok := readWaitTime(path)
			is.Equal(ok, row.ok)
			is.Equal(waited, row.waited)
		})
	}
	_, ok := readWaitTime(filepath.Join(t.TempDir(), "gone"))
	is.New(t).True(!ok)
}

// TestRecordStall guards against stalls recorded without a previous reading, and against
// missed stalls.
func TestRecordStall(t *testing.T) {
	is := is.New(t)
	d := &Deployment{}
	before := make(map[string]time.Duration)
	d.recordStall(os.Getpid(), "this one", before, time.Now())
	is.Equal(len(d.stalls), 0) // there is no previous reading
	is.True(len(before) > 0)
	for path := range before {
		before[path] -= time.Second // simulates a wait of one second since the previous reading
	}
	d.recordStall(os.Getpid(), "this one", before, time.Now())
	is.Equal(len(d.stalls), 1)
	is.True(d.stalls[0].waited >= time.Second)
}
