// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package sse_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/internal/sse"
)

func ExampleScanner() {
	var s sse.Scanner
	fmt.Printf("%q\n", s.Add([]byte("id: 1\ndata: a\n")))
	fmt.Printf("%q\n", s.Add([]byte("\nid: 2\nda")))
	fmt.Println(s.Events(), s.LastID(), s.Leftover())
	// Output:
	// ""
	// "id: 1\ndata: a\n\n"
	// 1 1 8
}

// streams are streams with their complete part and what it contains.
var streams = []struct {
	name     string
	data     string
	complete int
	events   int
	id       string
}{
	{"empty", "", 0, 0, ""},
	{"incomplete", "id: 1\ndata: x\n", 0, 0, ""},
	{"one", "id: 1\ndata: x\n\n", 15, 1, "1"},
	{"one and an incomplete one", "id: 1\ndata: x\n\nid: 2", 15, 1, "1"},
	{"two", "id: 1\n\nid: 2\n\n", 14, 2, "2"},
	{"one byte after the end", "id: 1\n\ni", 7, 1, "1"},
	{"CR LF", "id: 1\r\ndata: x\r\n\r\nid: 2\r\n\r\n", 27, 2, "2"},
	{"CR LF, incomplete", "id: 1\r\n\r\nid: 2\r\n", 9, 1, "1"},
	{"CR LF, between the blank line's two bytes", "id: 1\r\n\r", 8, 1, "1"},
	{"CR", "id: 1\rdata: x\r\rid: 2\r", 15, 1, "1"},
	{"mixed line ends", "id: 1\r\n\ndata: x\n\r\n", 18, 2, "1"},
	{"byte order mark", "\xEF\xBB\xBFid: 1\n\n", 10, 1, "1"},
	{"byte order mark inside", "id: 1\n\n\xEF\xBB\xBFid: 2\n\n", 17, 2, "1"},
	{"incomplete byte order mark", "\xEF\xBB", 0, 0, ""},
	{"comment", ": keep-alive\n", 13, 0, ""},
	{"comment and blank line", ": keep-alive\n\n", 14, 0, ""},
	{"incomplete comment", "id: 1\n\n: keep", 7, 1, "1"},
	{"comment inside an event", "id: 1\n: note\ndata: x\n\n", 22, 1, "1"},
	{"comment after the start of an event", "id: 1\n: note\n", 0, 0, ""},
	{"ID without a space", "id:6\n\n", 6, 1, "6"},
	{"ID with a colon", "id: a:b\n\n", 9, 1, "a:b"},
	{"ID with two spaces", "id:  6\n\n", 8, 1, " 6"},
	{"data that looks like an ID", "id: 5\ndata: id: 9\n\n", 19, 1, "5"},
	{"event without an ID", "id: 5\n\ndata: x\n\n", 16, 2, "5"},
	{"empty ID", "id: 5\n\nid\n\n", 11, 2, ""},
	{"ID with a zero byte", "id: 5\n\nid: \x00\n\n", 14, 2, "5"},
	{"ID of an incomplete event", "id: 5\n\nid: 6\n", 7, 1, "5"},
	{"other field", "ids: 5\n\n", 8, 1, ""},
	{"blank lines", "\n\n\r\n", 4, 0, ""},
}

// assertScan checks what a scanner returns for a stream in parts of a size.
func assertScan(t *testing.T, data string, size, complete, events int, id string) {
	t.Helper()
	is := is.New(t)
	var s sse.Scanner
	var out strings.Builder
	for i := 0; i < len(data); i += size {
		out.Write(s.Add([]byte(data[i:min(i+size, len(data))])))
	}
	is.Equal(out.String(), data[:complete])
	is.Equal(s.Events(), events)
	is.Equal(s.LastID(), id)
	is.Equal(s.Leftover(), len(data)-complete)
}

// TestScanner guards against a part of an event that counts as complete, and against a wrong last ID.
func TestScanner(t *testing.T) {
	for _, row := range streams {
		t.Run(row.name, func(t *testing.T) {
			for size := 1; size <= max(len(row.data), 1); size++ {
				assertScan(t, row.data, size, row.complete, row.events, row.id)
			}
		})
	}
}

// TestIdentified guards against an event without an ID that counts as one with the ID before it.
func TestIdentified(t *testing.T) {
	is := is.New(t)
	var s sse.Scanner
	is.True(!s.Identified())
	s.Add([]byte("id: 1\n\n"))
	is.True(s.Identified())
	s.Add([]byte("id: 2\n"))
	is.True(s.Identified())
	s.Add([]byte("\ndata: x\n\n"))
	is.True(!s.Identified())
	is.Equal(s.LastID(), "2")
}

// TestContinues guards against a byte order mark in the middle of a stream.
func TestContinues(t *testing.T) {
	for size := range 12 {
		is := is.New(t)
		s := sse.Scanner{
			Continues: true,
		}
		data := "\xEF\xBB\xBFid: 1\n\n\xEF\xBB\xBFx\n\n"
		var out strings.Builder
		for i := 0; i < len(data); i += size + 1 {
			out.Write(s.Add([]byte(data[i:min(i+size+1, len(data))])))
		}
		is.Equal(out.String(), data[3:])
	}
}

// split is a naive reference: the complete part of a stream, found line by line from the start.
func split(data string) (complete int) {
	rest := strings.TrimPrefix(data, "\xEF\xBB\xBF")
	at, inEvent := len(data)-len(rest), false
	for {
		n := strings.IndexAny(rest, "\r\n")
		if n < 0 {
			return complete
		}
		end := n + 1
		if strings.HasPrefix(rest[n:], "\r\n") {
			end++
		}
		switch {
		case n == 0:
			inEvent = false
		case rest[0] != ':':
			inEvent = true
		}
		at += end
		rest = rest[end:]
		if !inEvent {
			complete = at
		}
	}
}

// FuzzScanner compares a scanner with a naive reference, for any division into two parts.
func FuzzScanner(f *testing.F) {
	for _, row := range streams {
		f.Add(row.data, len(row.data)/2)
	}
	f.Fuzz(func(t *testing.T, data string, at int) {
		at = min(max(at, 0), len(data))
		var s sse.Scanner
		out := string(s.Add([]byte(data[:at])))
		out += string(s.Add([]byte(data[at:])))
		if want := data[:split(data)]; out != want {
			t.Fatalf("%q: complete %q, want %q", data, out, want)
		}
		if s.Leftover() != len(data)-len(out) {
			t.Fatalf("%q: %d bytes left over, want %d", data, s.Leftover(), len(data)-len(out))
		}
	})
}

// BenchmarkScanner measures a stream whose events arrive one by one.
func BenchmarkScanner(b *testing.B) {
	event := []byte("id: 12\ndata: " + strings.Repeat("token ", 43) + "\n\n")
	const events = 32
	b.SetBytes(int64(events * len(event)))
	for b.Loop() {
		var s sse.Scanner
		for range events {
			s.Add(event)
		}
	}
}
