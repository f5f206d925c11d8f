// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/internal/sse"
	"github.com/linkmast/linkmast/internal/upstream"
	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/pool"
)

// streamBuffer is the size of a read from a stream, in bytes. It holds several events.
const streamBuffer = 4 << 10

// maxEventBytes is the maximum size in bytes of an event, together with the comments and blank lines
// before it.
const maxEventBytes = 256 << 10

// Reasons why a stream whose end was read is incomplete.
var (
	errInsideEvent = errors.New("stream ended inside an event")
	errNoEvents    = errors.New("connection ended before the first event")
)

// isEventStream reports whether a response is a stream of events. Without a content type it is assumed
// to be one.
func isEventStream(res *http.Response) bool {
	text := res.Header.Get("Content-Type")
	if text == "" {
		return true
	}
	name, _, err := mime.ParseMediaType(text)
	return name == "text/event-stream" && (err == nil || errors.Is(err, mime.ErrInvalidMediaParameter))
}

// relayStream forwards events as they arrive. It forwards only complete events, so that another
// endpoint can resume the stream after any of them.
func (t *attempt) relayStream(x *upstream.Exchange, w *watch) result {
	out := t.job.out
	buf := make([]byte, streamBuffer)
	scanner := sse.Scanner{
		Continues: out.headSent,
	}
	last := time.Time{}
	// sinceEvent is the number of bytes read since the last complete event arrived.
	sinceEvent := 0
	for {
		n, err := x.Response.Body.Read(buf)
		before := scanner.Events()
		complete := scanner.Add(buf[:n])
		sinceEvent += n
		if scanner.Events() > before {
			sinceEvent = 0
			t.recordGap(&last)
			t.recordFirstEvent()
			w.recordActivity()
			t.reportProgress(scanner.Events())
			if !identified(&scanner) {
				// Another endpoint could not tell where to continue.
				w.end()
			}
		}
		if len(complete) > 0 {
			out.stream(x.Response, complete)
			out.progress.record(&scanner, scanner.Events()-before)
		}
		if err == io.EOF {
			return t.streamEnd(x, w, &scanner)
		}
		if err != nil {
			return t.handleInterrupted(err, w)
		}
		if out.callerGone() {
			return t.handleInterrupted(errCallerGone, w)
		}
		if sinceEvent > maxEventBytes {
			return t.handleInterrupted(errors.Wrap(upstream.ErrUnbounded, "event"), w)
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

// streamEnd returns the result of a stream whose end was read.
func (t *attempt) streamEnd(x *upstream.Exchange, w *watch, s *sse.Scanner) result {
	t.leftover = s.Leftover()
	err := checkStreamEnd(x.Response, s, t.job.out.progress.last)
	if err == nil {
		err = t.verifyEnd(x)
	}
	if err != nil {
		t.relay.Metrics.add("answers_incomplete")
		return t.handleInterrupted(err, w)
	}
	x.MarkComplete()
	out := t.job.out
	if !out.headSent {
		out.stream(x.Response, nil)
	}
	t.recordFirstEvent()
	return result{
		outcome:  pool.Served,
		answered: true,
		status:   x.Response.StatusCode,
	}
}

// checkStreamEnd returns an error unless a stream whose end was read is complete. LastEvent is the ID of
// the event after which it was requested; empty for a stream from its start.
func checkStreamEnd(res *http.Response, s *sse.Scanner, lastEvent string) error {
	switch {
	case s.Leftover() > 0:
		return errInsideEvent
	case s.Events() == 0 && lastEvent == "" && wirehttp.FramingOf(res) == wirehttp.ByClose:
		return errNoEvents
	}
	return nil
}

// streamProgress tracks which events of a stream were sent to the caller.
type streamProgress struct {
	// last is the id of the last event. It starts as the id that the caller sent to resume a
	// stream; empty without one.
	last string
	// unidentified states that the last event that was sent has no id, so that the stream can't be
	// resumed after it.
	unidentified bool
	// count is the number of events that this instance has sent.
	count int
	// at is when the relay last sent an event; zero before the first.
	at time.Time
}

// identified reports whether a stream can be resumed after the scanner's last event.
func identified(s *sse.Scanner) bool {
	return s.Identified() && s.LastID() != ""
}

// record records that a number of events were sent, the last of which is the scanner's last one.
func (e *streamProgress) record(s *sse.Scanner, events int) {
	if events == 0 {
		return
	}
	e.unidentified = !identified(s)
	if !e.unidentified {
		e.last = s.LastID()
	}
	e.count += events
	e.at = time.Now()
}
