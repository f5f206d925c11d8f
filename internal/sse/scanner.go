// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package sse

import (
	"bytes"
)

// byteOrderMark may precede the first line of a stream.
var byteOrderMark = []byte("\xEF\xBB\xBF")

// Scanner splits a stream, which arrives in parts, after its complete events. The zero value is at
// the start of a stream.
type Scanner struct {
	// Continues states that the stream continues another one, so that a byte order mark at its
	// start is dropped.
	Continues bool

	// pending holds the bytes that the last call of Add returned, which are the first returned
	// ones, and those that no call has returned yet.
	pending  []byte
	returned int
	// line is the index in pending at which the current line begins. started is set after the
	// first line of the stream.
	line    int
	started bool
	// afterCR is set if the last line ended with a CR, to which a following LF belongs.
	afterCR bool
	// inEvent is set if the lines since the last complete event contain a field, and hasID if they
	// contain an ID.
	inEvent bool
	hasID   bool
	// id is the last ID that was read.
	id []byte

	events     int
	lastID     string
	identified bool
}

// Add takes the next part of the stream. It returns all bytes that it has not returned before, up to
// the end of the last complete event, or of the last comment if no event has begun after it. The
// result is valid until the next call.
func (s *Scanner) Add(data []byte) []byte {
	s.pending = append(s.pending[:0], s.pending[s.returned:]...)
	next := len(s.pending)
	s.pending = append(s.pending, data...)
	s.returned = 0
	for next < len(s.pending) {
		if s.afterCR {
			s.afterCR = false
			if s.pending[next] == '\n' {
				next++
				s.line = next
				s.returnLine()
				continue
			}
		}
		n := bytes.IndexAny(s.pending[next:], "\r\n")
		if n < 0 {
			break
		}
		end := next + n
		s.afterCR = s.pending[end] == '\r'
		s.endLine(s.pending[s.line:end])
		next = end + 1
		s.line = next
		s.returnLine()
	}
	s.line -= s.returned
	return s.result()
}

// returnLine makes Add return the bytes up to the start of the current line unless it is inside an
// event.
func (s *Scanner) returnLine() {
	if !s.inEvent {
		s.returned = s.line
	}
}

// result returns the bytes that Add returns.
func (s *Scanner) result() []byte {
	out := s.pending[:s.returned]
	if len(out) > 0 && s.Continues {
		out = bytes.TrimPrefix(out, byteOrderMark)
		s.Continues = false
	}
	return out
}

// endLine interprets a complete line.
func (s *Scanner) endLine(line []byte) {
	if !s.started {
		line = bytes.TrimPrefix(line, byteOrderMark)
		s.started = true
	}
	switch {
	case len(line) == 0:
		s.endEvent()
	case line[0] != ':':
		s.inEvent = true
		s.readField(line)
	}
}

// readField interprets a field. Only IDs matter here.
func (s *Scanner) readField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if string(name) != "id" {
		return
	}
	value = bytes.TrimPrefix(value, []byte(" "))
	if bytes.IndexByte(value, 0) >= 0 {
		// The standard ignores such an ID.
		return
	}
	s.id = append(s.id[:0], value...)
	s.hasID = true
}

// endEvent ends the current event at a blank line.
func (s *Scanner) endEvent() {
	if !s.inEvent {
		return
	}
	s.events++
	s.lastID = string(s.id)
	s.identified = s.hasID
	s.inEvent = false
	s.hasID = false
}

// Events returns the number of complete events so far.
func (s *Scanner) Events() int {
	return s.events
}

// LastID returns the last event ID after the last complete event. It is empty before the first ID,
// and after an ID that is empty.
func (s *Scanner) LastID() string {
	return s.lastID
}

// Identified reports whether the last complete event has an ID of its own. If not, LastID is that of
// an earlier event.
func (s *Scanner) Identified() bool {
	return s.identified
}

// Leftover returns the number of bytes after the last complete event or comment. At the end of a
// complete stream it is zero.
func (s *Scanner) Leftover() int {
	return len(s.pending) - s.returned
}
