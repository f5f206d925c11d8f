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

// streamBuffer is the size of the buffer that an answer is read through, in
// bytes. A line is one token with its frame, about a hundred bytes.
const streamBuffer = 2 << 10

// HTTP is the adapter to an engine over HTTP.
type HTTP struct {
	client *http.Client
	base   string
}

// NewHTTP returns an adapter to the engine at a host and port. The client
// must not follow redirects to other hosts; it carries the dial time-outs.
func NewHTTP(client *http.Client, address string) *HTTP {
	return &HTTP{
		client: client,
		base:   "http://" + address,
	}
}

// Refusal is the wire form of an engine's refusal.
type Refusal struct {
	// Code is one of the codes of refusals.
	Code string `json:"code"`
	// Started is false when the attempt did not start and will not.
	Started bool `json:"started"`
	// Detail explains the refusal.
	Detail string `json:"detail"`
}

// Run implements Client.
func (h *HTTP) Run(ctx context.Context, a Attempt) (Stream, error) {
	res, err := h.send(ctx, http.MethodPost, "/v1/attempts", a)
	if err != nil {
		return nil, err
	}
	return newLines(res.Body), nil
}

// Resume implements Client.
func (h *HTTP) Resume(ctx context.Context, id string, seq int) (Stream, error) {
	path := "/v1/attempts/" + url.PathEscape(id) + "?from=" + strconv.Itoa(seq)
	res, err := h.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	return newLines(res.Body), nil
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

// call sends a request and reads a whole answer into out.
func (h *HTTP) call(ctx context.Context, method, path string, in, out any) error {
	res, err := h.send(ctx, method, path, in)
	if err != nil {
		return err
	}
	defer wirehttp.Drain(res.Body)
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(res.Body).Decode(out); err != nil {
		return errors.Wrap(err, "read answer of engine")
	}
	return nil
}

// send sends a request. An error is a *RunError: not_run when no connection
// came about or the engine said that it did not start, else may_have_run.
func (h *HTTP) send(ctx context.Context, method, path string, in any) (*http.Response, error) {
	ctx, connected := wirehttp.TraceConnection(ctx)
	var body io.Reader
	size := 0
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, notStarted(err)
		}
		size = len(data)
		body = wirehttp.Once(bytes.NewReader(data))
	}
	req, err := http.NewRequestWithContext(ctx, method, h.base+path, body)
	if err != nil {
		return nil, notStarted(err)
	}
	req.ContentLength = int64(size)
	res, err := h.client.Do(req)
	if err != nil {
		e := notStarted(err)
		if connected.Load() {
			e.Ran = problem.MayHaveRun
		}
		return nil, e
	}
	if res.StatusCode/100 == 2 {
		return res, nil
	}
	defer wirehttp.Drain(res.Body)
	return nil, refused(res)
}

func notStarted(err error) *RunError {
	return &RunError{
		Ran:  problem.NotRun,
		Code: Unreachable,
		Err:  err,
	}
}

// refused reads a refusal. A body that is none proves nothing.
func refused(res *http.Response) *RunError {
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

// lines reads an answer line by line.
type lines struct {
	body io.ReadCloser
	r    *bufio.Reader
}

func newLines(body io.ReadCloser) *lines {
	return &lines{
		body: body,
		r:    bufio.NewReaderSize(body, streamBuffer),
	}
}

// Next implements Stream.
func (l *lines) Next() (Chunk, error) {
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
func (l *lines) Close() error {
	return l.body.Close()
}
