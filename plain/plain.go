// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package plain defines the interface to plain services and implements it over
// HTTP.
//
// A plain service responds to each call with one response. The caller receives the
// response, whatever its status, unless its header Linkmast-Started is "false".
// Only a response with this header or a failure to connect proves that a call had
// no effect.
package plain

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/problem"
)

// StartedHeader is the response header that a service sets to "false" if a call
// had no effect. The response is then not returned to the caller.
const StartedHeader = "Linkmast-Started"

// RequestHeader is the request header that carries the id of the request.
const RequestHeader = "Linkmast-Request-Id"

// InstanceHeader is the request header with the id of the endpoint instance that
// may execute the call. Any other instance at the address refuses it.
const InstanceHeader = "Linkmast-Instance"

// MaxAnswerBytes is the maximum size of the body of a response.
const MaxAnswerBytes = 16 << 20

// Call is a call of a plain service.
type Call struct {
	// Request is the id of the request.
	Request string
	// Instance is the id of the endpoint instance that may execute the call. Empty
	// allows every instance.
	Instance string
	// Method is the HTTP method.
	Method string
	// Path is the path on the endpoint, with the query.
	Path string
	// ContentType is the media type of Body; empty means that none is sent.
	ContentType string
	// Body is the complete body of the request.
	Body []byte
}

// Answer is the complete response to a call.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// ContentType is the media type of Body.
	ContentType string
	// Body is the complete body of the response.
	Body []byte
}

// CallError reports that a call has no response for the caller.
type CallError struct {
	// Ran states whether the call took effect, as far as is known.
	Ran problem.Ran
	// Err is the underlying error.
	Err error
}

// Error returns the value of Ran and the underlying error.
func (e *CallError) Error() string {
	return fmt.Sprintf("plain service (%s): %v", e.Ran, e.Err)
}

// Unwrap returns the underlying error.
func (e *CallError) Unwrap() error {
	return e.Err
}

// Client sends requests to one endpoint of a plain service.
type Client interface {
	// Call sends a call and returns the response. An error is a *CallError.
	Call(ctx context.Context, c Call) (Answer, error)
	// Probe returns an error unless the endpoint reports that it is healthy.
	Probe(ctx context.Context) error
}

// HTTP implements Client over HTTP.
type HTTP struct {
	client *http.Client
	base   string
}

// NewHTTP returns a client of the endpoint at address, a host and port.
func NewHTTP(client *http.Client, address string) *HTTP {
	return &HTTP{
		client: client,
		base:   "http://" + address,
	}
}

// Call implements Client.
func (h *HTTP) Call(ctx context.Context, c Call) (Answer, error) {
	ctx, connected := wirehttp.TraceConnection(ctx)
	body := wirehttp.Once(bytes.NewReader(c.Body))
	req, err := http.NewRequestWithContext(ctx, c.Method, h.base+c.Path, body)
	if err != nil {
		return Answer{}, &CallError{
			Ran: problem.NotRun,
			Err: err,
		}
	}
	req.ContentLength = int64(len(c.Body))
	req.Header.Set(RequestHeader, c.Request)
	req.Header.Set(InstanceHeader, c.Instance)
	if c.ContentType != "" {
		req.Header.Set("Content-Type", c.ContentType)
	}
	res, err := h.client.Do(req)
	if err != nil {
		ran := problem.NotRun
		if connected.Load() {
			ran = problem.MayHaveRun
		}
		return Answer{}, &CallError{
			Ran: ran,
			Err: err,
		}
	}
	defer wirehttp.Drain(res.Body)
	if res.Header.Get(StartedHeader) == "false" {
		return Answer{}, &CallError{
			Ran: problem.NotRun,
			Err: errors.Errorf("status %d, not started", res.StatusCode),
		}
	}
	a, err := readAnswer(res)
	if err == nil && wirehttp.FramingOf(res) == wirehttp.ByClose {
		err = h.verifyEnd(ctx)
	}
	if err != nil {
		return Answer{}, &CallError{
			Ran: problem.DidRun,
			Err: err,
		}
	}
	return a, nil
}

// endCheckTimeout bounds the check of an endpoint that ended a response with the connection.
const endCheckTimeout = 250 * time.Millisecond

// verifyEnd returns an error if the endpoint no longer answers, whatever the status. A response that
// ended with its connection may then have ended because the endpoint did.
func (h *HTTP) verifyEnd(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	res, err := h.get(ctx, "/healthz")
	if err != nil {
		return errors.Wrap(err, "endpoint ended with the connection")
	}
	wirehttp.Drain(res.Body)
	return nil
}

// readAnswer reads the complete response. It returns an error if the body breaks off or is longer
// than MaxAnswerBytes.
func readAnswer(res *http.Response) (Answer, error) {
	data, err := io.ReadAll(io.LimitReader(res.Body, MaxAnswerBytes+1))
	if err == nil && len(data) > MaxAnswerBytes {
		err = errors.Errorf("answer is above %d bytes", MaxAnswerBytes)
	}
	if err != nil {
		return Answer{}, err
	}
	return Answer{
		Status:      res.StatusCode,
		ContentType: res.Header.Get("Content-Type"),
		Body:        data,
	}, nil
}

// Probe implements Client. It requests /healthz and expects the status 200.
func (h *HTTP) Probe(ctx context.Context) error {
	res, err := h.get(ctx, "/healthz")
	if err != nil {
		return errors.Wrap(err, "probe plain service")
	}
	defer wirehttp.Drain(res.Body)
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("probe plain service: status %d", res.StatusCode)
	}
	return nil
}

// get requests a path.
func (h *HTTP) get(ctx context.Context, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.base+path, nil)
	if err != nil {
		return nil, err
	}
	return h.client.Do(req)
}
