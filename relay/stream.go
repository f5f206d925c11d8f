// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"bytes"
	"io"
	"time"

	"github.com/linkmast/linkmast/internal/upstream"
	"github.com/linkmast/linkmast/pool"
)

// streamBuffer is the size of a read from a stream, in bytes. It holds several events.
const streamBuffer = 4 << 10

// relayStream forwards events as they arrive. Until the stream ends it forwards only complete
// events, so that another endpoint can resume the stream after any of them.
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
			return t.handleInterrupted(err, w)
		}
		if out.callerGone() {
			return t.handleInterrupted(errCallerGone, w)
		}
	}
}

// recordGap updates the longest pause between events. Last is when the previous events arrived;
// zero before the first.
func (t *attempt) recordGap(last *time.Time) {
	now := time.Now()
	if !last.IsZero() {
		t.longestGap = max(t.longestGap, now.Sub(*last))
	}
	*last = now
}

// streamEnd forwards what is left of a stream after its endpoint ended it.
func (t *attempt) streamEnd(x *upstream.Exchange, rest []byte) result {
	x.MarkComplete()
	t.leftover = len(rest)
	if len(rest) > 0 {
		t.relay.Metrics.add("ended_inside_event")
	}
	out := t.job.out
	if !out.headSent || len(rest) > 0 {
		out.stream(x.Response, rest)
	}
	t.recordFirstEvent()
	return result{
		outcome:  pool.Served,
		answered: true,
		status:   x.Response.StatusCode,
	}
}

// wholeEvents returns the length of the complete events at the start of data.
func wholeEvents(data []byte) int {
	end := bytes.LastIndex(data, []byte("\n\n"))
	if end < 0 {
		return 0
	}
	return end + 2
}

// streamProgress tracks which events of a stream were sent to the caller.
type streamProgress struct {
	// last is the id of the last event. It starts as the id that the caller sent to resume a
	// stream; empty without one.
	last string
	// count is the number of events with an id that this instance has sent.
	count int
	// at is when the relay last sent an event with an id; zero before the first.
	at time.Time
}

// idField starts the line with an event's id (HTML Standard, section 9.2).
var idField = []byte("id:")

// observe records the events in data that have an id.
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
