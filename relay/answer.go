// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"net/http"
	"strconv"

	"github.com/go-faster/errors"
)

// errCallerGone ends an attempt whose caller takes no more.
var errCallerGone = errors.New("caller takes no more")

// answer is the caller's side of a request.
type answer struct {
	w     http.ResponseWriter
	flush *http.ResponseController
	// headSent states that the head was sent.
	headSent bool
	// progress is what the caller has of a stream.
	progress streamProgress
	// err is why the caller takes no more; nil while it does.
	err error
}

// newAnswer returns the answer to a request, of which nothing was sent yet.
func newAnswer(w http.ResponseWriter, j *job) *answer {
	return &answer{
		w:     w,
		flush: http.NewResponseController(w),
		progress: streamProgress{
			last: j.head.LastEvent,
		},
	}
}

// sendHead sends the sendHead of an endpoint's answer. A negative length means that the
// body's end is told by the transfer.
func (a *answer) sendHead(res *http.Response, length int64) {
	h := a.w.Header()
	for name, values := range forwardedHeader(res.Header) {
		h[name] = values
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	// Without an entry net/http would add what the endpoint did not send.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := h[name]; !ok {
			h[name] = nil
		}
	}
	a.w.WriteHeader(res.StatusCode)
	a.headSent = true
}

// write sends a piece of the body, unless the caller takes no more.
func (a *answer) write(data []byte) {
	if a.err != nil {
		return
	}
	_, a.err = a.w.Write(data)
}

// send sends a whole answer.
func (a *answer) send(res *http.Response, data []byte) {
	length := int64(len(data))
	if res.StatusCode == http.StatusNoContent || res.StatusCode == http.StatusNotModified {
		length = -1
	}
	a.sendHead(res, length)
	a.write(data)
}

// stream sends events, the first time with the head.
func (a *answer) stream(res *http.Response, data []byte) {
	if !a.headSent {
		a.sendHead(res, -1)
	}
	if len(data) > 0 {
		a.write(data)
		a.progress.observe(data)
	}
	if a.err == nil {
		a.err = a.flush.Flush()
	}
}

// callerGone states that the caller takes no more.
func (a *answer) callerGone() bool {
	return a.err != nil
}
