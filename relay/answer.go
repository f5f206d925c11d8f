// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"net/http"
	"strconv"

	"github.com/go-faster/errors"
)

// errCallerGone ends an attempt whose caller no longer accepts the answer.
var errCallerGone = errors.New("caller no longer accepts the answer")

// answer writes the answer to the caller.
type answer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// chunks states that the caller's version of HTTP has chunks. Without them, the end of the
	// connection ends an answer without a length.
	chunks bool
	// headSent states that the status and header were sent.
	headSent bool
	// progress tracks which events of a stream were sent to the caller.
	progress streamProgress
	// err is the error of the first failed write to the caller; nil before.
	err error
}

// newAnswer returns an answer of which nothing was sent yet.
func newAnswer(w http.ResponseWriter, j *job) *answer {
	return &answer{
		w:       w,
		control: http.NewResponseController(w),
		chunks:  j.chunks,
		progress: streamProgress{
			last: j.head.LastEvent,
		},
	}
}

// sendHead sends the status and header of an endpoint's answer. A negative length means that no
// Content-Length is set.
func (a *answer) sendHead(res *http.Response, length int64) {
	h := a.w.Header()
	for name, values := range forwardedHeader(res.Header) {
		h[name] = values
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	// Without these entries net/http would add headers that the endpoint did not send.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := h[name]; !ok {
			h[name] = nil
		}
	}
	a.w.WriteHeader(res.StatusCode)
	a.headSent = true
}

// write sends a part of the body. It does nothing after a failed write.
func (a *answer) write(data []byte) {
	if a.err != nil {
		return
	}
	_, a.err = a.w.Write(data)
}

// send sends a complete answer.
func (a *answer) send(res *http.Response, data []byte) {
	length := int64(len(data))
	if res.StatusCode == http.StatusNoContent || res.StatusCode == http.StatusNotModified {
		length = -1
	}
	a.sendHead(res, length)
	a.write(data)
}

// stream sends the next part of a stream, after the head if that was not sent yet.
func (a *answer) stream(res *http.Response, data []byte) {
	if !a.headSent {
		a.sendHead(res, -1)
	}
	if len(data) > 0 {
		a.write(data)
	}
	if a.err == nil {
		a.err = a.control.Flush()
	}
}

// callerGone reports whether a write to the caller has failed.
func (a *answer) callerGone() bool {
	return a.err != nil
}

// abort ends an incomplete answer in a way that the caller can't take for its proper end, and the
// handler with it.
func (a *answer) abort() {
	if !a.chunks {
		a.reset()
	}
	// The server closes the connection without a last chunk.
	panic(http.ErrAbortHandler)
}

// reset resets the caller's connection.
func (a *answer) reset() {
	conn, _, err := a.control.Hijack()
	if err != nil {
		// The connection has ended already.
		return
	}
	if t, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		// This fails only on a connection that has ended.
		_ = t.SetLinger(0)
	}
	_ = conn.Close()
}
