// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"bytes"
	"io"
	"time"

	"github.com/linkmast/linkmast/internal/upstream"
	"github.com/linkmast/linkmast/pool"
)

// streamBuffer is how much of a stream is read at once, in bytes: several events.
const streamBuffer = 4 << 10

// relayStream passes the events of a relayStream on as they come. Only whole events are
// passed on, so that another endpoint can continue after any of them.
func (t *attempt) relayStream(x *upstream.Exchange, w *watch) result {
	out := t.job.out
	buf := make([]byte, streamBuffer)
	var rest []byte
	last := time.Time{}
	for {
		n, err := x.Response.Body.Read(buf)
		if n > 0 {
			rest = append(rest, buf[:n]...)
			whole := wholeEvents(rest)
			if whole > 0 {
				t.recordGap(&last)
				t.recordFirstEvent()
				w.recordActivity()
				out.stream(x.Response, rest[:whole])
				rest = rest[whole:]
			}
		}
		if err == io.EOF {
			return t.streamEnd(x, rest)
		}
		if err != nil {
			return t.handleBroken(err, w)
		}
		if out.gone() {
			return t.handleBroken(errCallerGone, w)
		}
	}
}

// recordGap keeps the longest pause between events.
func (t *attempt) recordGap(last *time.Time) {
	now := time.Now()
	if !last.IsZero() {
		t.longestGap = max(t.longestGap, now.Sub(*last))
	}
	*last = now
}

// streamEnd ends a stream that its endpoint ended.
func (t *attempt) streamEnd(x *upstream.Exchange, rest []byte) result {
	x.MarkComplete()
	out := t.job.out
	if !out.begun || len(rest) > 0 {
		out.stream(x.Response, rest)
	}
	t.recordFirstEvent()
	return result{
		outcome: pool.Served,
		final:   true,
		status:  x.Response.StatusCode,
	}
}

// wholeEvents returns the length of the whole events at the start of data.
func wholeEvents(data []byte) int {
	end := bytes.LastIndex(data, []byte("\n\n"))
	if end < 0 {
		return 0
	}
	return end + 2
}

// streamProgress is what a caller has of a stream.
type streamProgress struct {
	// last is the id of the last event; it begins as what the caller had
	// before.
	last  string
	count int
	// at is when the caller got the last event; zero before the first one.
	at time.Time
}

// idField begins the line with an event's id (HTML Standard, 9.2).
var idField = []byte("id:")

// observe takes over events that the caller got.
func (e *streamProgress) observe(data []byte) {
	for _, line := range bytes.Split(data, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, idField)
		if !ok {
			continue
		}
		e.last = string(bytes.TrimSpace(value))
		e.count++
		e.at = time.Now()
	}
}
