// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/problem"
)

// streamBuffer is the size of the buffer for reading an answer, in bytes. It
// bounds the length of a line; a line holds one token.
const streamBuffer = 2 << 10

// HTTP implements Client over HTTP.
type HTTP struct {
	client *http.Client
	base   string
}

// NewHTTP returns a client of the engine at address, a host and port. The given
// client must bound the time to connect and must not follow redirects to other
// hosts.
func NewHTTP(client *http.Client, address string) *HTTP {
	return &HTTP{
		client: client,
		base:   "http://" + address,
	}
}

// Refusal is the JSON body with which an engine refuses a request.
type Refusal struct {
	// Code is one of the constants RefusedMemory to RefusedFault.
	Code string `json:"code"`
	// Started is false if the attempt has not started and never will.
	Started bool `json:"started"`
	// Detail describes the reason in words.
	Detail string `json:"detail"`
}

// Run implements Client.
func (h *HTTP) Run(ctx context.Context, a Attempt) (Stream, error) {
	res, err := h.send(ctx, http.MethodPost, "/v1/attempts", a)
	if err != nil {
		return nil, err
	}
	return newChunkReader(res.Body), nil
}

// Resume implements Client.
func (h *HTTP) Resume(ctx context.Context, id string, seq int) (Stream, error) {
	path := "/v1/attempts/" + url.PathEscape(id) + "?from=" + strconv.Itoa(seq)
	res, err := h.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	return newChunkReader(res.Body), nil
}

// Cancel implements Client.
func (h *HTTP) Cancel(ctx context.Context, id string) error {
	return h.call(ctx, http.MethodDelete, "/v1/attempts/"+url.PathEscape(id), nil, nil)
}

// Reserve implements Client.
func (h *HTTP) Reserve(ctx context.Context, r Reservation) error {
	return h.call(ctx, http.MethodPost, "/v1/reservations", r, nil)
}

// Status implements Client.
func (h *HTTP) Status(ctx context.Context, list bool) (Status, error) {
	var s Status
	err := h.call(ctx, http.MethodGet, "/v1/status?list="+strconv.FormatBool(list), nil, &s)
	return s, err
}

// Order implements Client.
func (h *HTTP) Order(ctx context.Context, o Order) error {
	return h.call(ctx, http.MethodPost, "/v1/orders", o, nil)
}

// Events implements Client.
func (h *HTTP) Events(ctx context.Context, after int64) ([]CacheEvent, error) {
	var out []CacheEvent
	path := "/v1/events?after=" + strconv.FormatInt(after, 10)
	err := h.call(ctx, http.MethodGet, path, nil, &out)
	return out, err
}

// call sends a request and decodes the JSON body of the response into out, unless
// out is nil.
func (h *HTTP) call(ctx context.Context, method, path string, in, out any) error {
	res, err := h.send(ctx, method, path, in)
	if err != nil {
		return err
	}
	defer wirehttp.Drain(res.Body)
	if out == nil {
		return nil
	}
	if err := wirehttp.DecodeJSON(res.Body, out); err != nil {
		return errors.Wrap(err, "decode response of engine")
	}
	return nil
}

// send sends a request and returns the response if its status is 2xx. Otherwise
// it returns a *RunError. Its Ran is NotRun if no connection was established or
// the engine refused the request as not started, and MayHaveRun otherwise.
func (h *HTTP) send(ctx context.Context, method, path string, in any) (*http.Response, error) {
	ctx, connected := wirehttp.TraceConnection(ctx)
	var body io.Reader
	size := 0
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, notRunError(err)
		}
		size = len(data)
		body = wirehttp.Once(bytes.NewReader(data))
	}
	req, err := http.NewRequestWithContext(ctx, method, h.base+path, body)
	if err != nil {
		return nil, notRunError(err)
	}
	req.ContentLength = int64(size)
	res, err := h.client.Do(req)
	if err != nil {
		e := notRunError(err)
		if connected.Load() {
			e.Ran = problem.MayHaveRun
		}
		return nil, e
	}
	if res.StatusCode/100 == 2 {
		return res, nil
	}
	defer wirehttp.Drain(res.Body)
	return nil, refusalError(res)
}

// notRunError returns a RunError with Ran set to NotRun and the code Unreachable.
func notRunError(err error) *RunError {
	return &RunError{
		Ran:  problem.NotRun,
		Code: Unreachable,
		Err:  err,
	}
}

// refusalError returns the refusal in the body of a response as a *RunError. Its Ran is
// NotRun if the refusal says that the attempt has not started, and MayHaveRun if it says
// otherwise or the body is not a refusal.
func refusalError(res *http.Response) *RunError {
	r := Refusal{
		Code:    RefusedFault,
		Started: true,
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, wirehttp.MaxErrorBody)).Decode(&r); err != nil {
		r.Started = true
	}
	e := &RunError{
		Ran:  problem.MayHaveRun,
		Code: r.Code,
		Err:  errors.Errorf("status %d: %s", res.StatusCode, r.Detail),
	}
	if !r.Started {
		e.Ran = problem.NotRun
	}
	return e
}

// chunkReader implements Stream on the body of a response, with one chunk per
// line.
type chunkReader struct {
	body io.ReadCloser
	r    *bufio.Reader
}

func newChunkReader(body io.ReadCloser) *chunkReader {
	return &chunkReader{
		body: body,
		r:    bufio.NewReaderSize(body, streamBuffer),
	}
}

// Next implements Stream.
func (l *chunkReader) Next() (Chunk, error) {
	var k Chunk
	line, err := l.r.ReadSlice('\n')
	if err != nil {
		if errors.Is(err, io.EOF) && len(line) > 0 {
			return k, io.ErrUnexpectedEOF
		}
		return k, err
	}
	if err := json.Unmarshal(line, &k); err != nil {
		return k, &AnswerError{
			Reason: "line is no chunk: " + err.Error(),
		}
	}
	return k, nil
}

// Close implements Stream.
func (l *chunkReader) Close() error {
	return l.body.Close()
}
