// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"testing"

	"github.com/matryer/is"
)

// TestWholeEvents guards against forwarding a part of an event.
func TestWholeEvents(t *testing.T) {
	for _, row := range []struct {
		name string
		data string
		want int
	}{
		{"empty", "", 0},
		{"incomplete", "id: 1\ndata: x\n", 0},
		{"one", "id: 1\ndata: x\n\n", 15},
		{"one and an incomplete one", "id: 1\ndata: x\n\nid: 2", 15},
		{"two", "id: 1\n\nid: 2\n\n", 14},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(wholeEvents([]byte(row.data)), row.want)
		})
	}
}

// TestStreamProgress guards against resuming a stream after the wrong event.
func TestStreamProgress(t *testing.T) {
	is := is.New(t)
	e := streamProgress{
		last: "4",
	}
	e.observe([]byte("id: 5\ndata: id: 9\n\nid:6\ndata: y\n\n"))
	is.Equal(e.last, "6")
	is.Equal(e.count, 2)
	e.observe([]byte(": comment\n\n"))
	is.Equal(e.last, "6")
}
