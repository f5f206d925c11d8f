// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/linkmast/linkmast/problem"
)

// responseFormat holds the fixed fields of OpenAI's response format for text or chat
// completions.
type responseFormat struct {
	id      string
	model   string
	chat    bool
	created int64
}

func newResponseFormat(id, model string, chat bool) responseFormat {
	return responseFormat{
		id:      id,
		model:   model,
		chat:    chat,
		created: time.Now().Unix(),
	}
}

func (s *responseFormat) object(stream bool) string {
	switch {
	case s.chat && stream:
		return "chat.completion.chunk"
	case s.chat:
		return "chat.completion"
	}
	return "text_completion"
}

// frame returns the part of a streamed event that precedes the token's text.
func (s *responseFormat) frame() []byte {
	b := []byte(`data: {"id":`)
	b = appendString(b, s.id)
	b = append(b, `,"object":"`...)
	b = append(b, s.object(true)...)
	b = append(b, `","created":`...)
	b = strconv.AppendInt(b, s.created, 10)
	b = append(b, `,"model":`...)
	b = appendString(b, s.model)
	b = append(b, `,"choices":[{"index":0,`...)
	if s.chat {
		return append(b, `"delta":{"content":`...)
	}
	return append(b, `"text":`...)
}

// streamSink sends each token as a server-sent event.
type streamSink struct {
	out         Writer
	format      responseFormat
	framePrefix []byte
	buf         []byte
	headSent    bool
}

func newStreamSink(out Writer, s responseFormat) *streamSink {
	return &streamSink{
		out:         out,
		format:      s,
		framePrefix: s.frame(),
	}
}

func (s *streamSink) started() bool {
	return s.headSent
}

func (s *streamSink) restart() {}

func (s *streamSink) start() error {
	if s.headSent {
		return nil
	}
	s.headSent = true
	return s.out.Head(http.StatusOK, "text/event-stream")
}

func (s *streamSink) token(text string) error {
	if err := s.start(); err != nil {
		return err
	}
	s.event(text, "null")
	return s.out.Write(s.buf)
}

// event replaces the buffer with the event of one token. Reason is the finish reason as JSON.
func (s *streamSink) event(text, reason string) {
	s.buf = append(s.buf[:0], s.framePrefix...)
	s.buf = appendString(s.buf, text)
	if s.format.chat {
		s.buf = append(s.buf, '}')
	}
	s.buf = append(s.buf, `,"finish_reason":`...)
	s.buf = append(s.buf, reason...)
	s.buf = append(s.buf, "}]}\n\n"...)
}

func (s *streamSink) end(u usage) error {
	if err := s.start(); err != nil {
		return err
	}
	s.event("", strconv.Quote(u.reason))
	// The last event before [DONE] carries the usage.
	s.buf = append(s.buf[:len(s.buf)-len("}\n\n")], `,"usage":`...)
	s.buf = appendUsage(s.buf, u)
	s.buf = append(s.buf, "}\n\ndata: [DONE]\n\n"...)
	return s.out.Write(s.buf)
}

// fail sends an error event to a caller that has received part of the answer.
func (s *streamSink) fail(p *problem.Error) {
	b := []byte("event: error\ndata: {\"error\":")
	b = append(b, p.Marshal(s.format.id)...)
	b = append(b, "}\n\n"...)
	// A failed write means that the caller has disconnected.
	_ = s.out.Write(b)
}

// wholeSink collects the tokens and sends the answer as one JSON object.
type wholeSink struct {
	out      Writer
	format   responseFormat
	text     []byte
	headSent bool
}

func newWholeSink(out Writer, s responseFormat) *wholeSink {
	return &wholeSink{
		out:    out,
		format: s,
	}
}

func (s *wholeSink) started() bool {
	return s.headSent
}

func (s *wholeSink) restart() {
	s.text = s.text[:0]
}

func (s *wholeSink) token(text string) error {
	s.text = append(s.text, text...)
	return nil
}

func (s *wholeSink) end(u usage) error {
	b := []byte(`{"id":`)
	b = appendString(b, s.format.id)
	b = append(b, `,"object":"`...)
	b = append(b, s.format.object(false)...)
	b = append(b, `","created":`...)
	b = strconv.AppendInt(b, s.format.created, 10)
	b = append(b, `,"model":`...)
	b = appendString(b, s.format.model)
	b = append(b, `,"choices":[{"index":0,`...)
	if s.format.chat {
		b = append(b, `"message":{"role":"assistant","content":`...)
		b = appendString(b, string(s.text))
		b = append(b, '}')
	} else {
		b = append(b, `"text":`...)
		b = appendString(b, string(s.text))
	}
	b = append(b, `,"finish_reason":`...)
	b = strconv.AppendQuote(b, u.reason)
	b = append(b, `}],"usage":`...)
	b = appendUsage(b, u)
	b = append(b, "}\n"...)
	s.headSent = true
	if err := s.out.Head(http.StatusOK, "application/json"); err != nil {
		return err
	}
	return s.out.Write(b)
}

// appendUsage appends the usage object.
func appendUsage(b []byte, u usage) []byte {
	b = append(b, `{"prompt_tokens":`...)
	b = strconv.AppendInt(b, int64(u.prompt), 10)
	b = append(b, `,"completion_tokens":`...)
	b = strconv.AppendInt(b, int64(u.output), 10)
	b = append(b, `,"total_tokens":`...)
	b = strconv.AppendInt(b, int64(u.prompt+u.output), 10)
	b = append(b, `,"prompt_tokens_details":{"cached_tokens":`...)
	b = strconv.AppendInt(b, int64(u.cached), 10)
	return append(b, "}}"...)
}

// appendString appends a JSON string. It copies printable ASCII without quotes and backslashes,
// and leaves other strings to encoding/json.
func appendString(b []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			return appendEscaped(b, s)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

func appendEscaped(b []byte, s string) []byte {
	// Marshal does not fail for a string.
	q, _ := json.Marshal(s)
	return append(b, q...)
}
