// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/internal/sse"
)

// recordEvents records the events of a part of a stream as sent.
func recordEvents(e *streamProgress, data string) {
	var s sse.Scanner
	s.Add([]byte(data))
	e.record(&s, s.Events())
}

// TestStreamProgress guards against resuming a stream after the wrong event.
func TestStreamProgress(t *testing.T) {
	is := is.New(t)
	e := streamProgress{
		last: "4",
	}
	recordEvents(&e, "id: 5\ndata: id: 9\n\nid:6\ndata: y\n\n")
	is.Equal(e.last, "6")
	is.Equal(e.count, 2)
	recordEvents(&e, ": comment\n\n")
	is.Equal(e.last, "6")
	is.Equal(e.count, 2)
	is.True(!e.unidentified)
	recordEvents(&e, "data: z\n\n")
	is.Equal(e.last, "6")
	is.True(e.unidentified)
	recordEvents(&e, "id: 7\n\n")
	is.True(!e.unidentified)
	recordEvents(&e, "id\n\n")
	is.True(e.unidentified)
}

// TestCheckStreamEnd guards against an incomplete stream that counts as complete.
func TestCheckStreamEnd(t *testing.T) {
	for _, row := range []struct {
		name string
		data string
		// length is the length that the header states; -1 if the connection ended the stream.
		length int64
		after  string
		want   error
	}{
		{"complete", "id: 1\n\n", 7, "", nil},
		{"complete, unframed", "id: 1\n\n", -1, "", nil},
		{"inside an event", "id: 1\n\nid: 2\n", 13, "", errInsideEvent},
		{"inside an event, unframed", "id: 1\n\nid: 2\n", -1, "", errInsideEvent},
		{"inside a comment", ": keep", -1, "", errInsideEvent},
		{"no event", "", 0, "", nil},
		{"no event, unframed", "", -1, "", errNoEvents},
		{"a comment, unframed", ": keep-alive\n", -1, "", errNoEvents},
		{"nothing after the last event, unframed", "", -1, "7", nil},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			var s sse.Scanner
			s.Add([]byte(row.data))
			res := &http.Response{
				ContentLength: row.length,
			}
			is.Equal(checkStreamEnd(res, &s, row.after), row.want)
		})
	}
}

// TestIsEventStream guards against an answer of another type that is split into events.
func TestIsEventStream(t *testing.T) {
	for _, row := range []struct {
		contentType string
		want        bool
	}{
		{"", true},
		{"text/event-stream", true},
		{"Text/Event-Stream; charset=utf-8", true},
		{"text/event-stream;", true},
		{"text/event-stream; charset", true},
		{"application/json", false},
		{"text/event-streams", false},
	} {
		t.Run(row.contentType, func(t *testing.T) {
			is := is.New(t)
			res := &http.Response{
				Header: http.Header{"Content-Type": {row.contentType}},
			}
			is.Equal(isEventStream(res), row.want)
		})
	}
}
