// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package plain is the interface to plain services, and its adapter over HTTP.
//
// A plain service answers whole calls. Its answer, whatever its status, is the
// caller's; only an answer with the header Linkmast-Started set to "false"
// proves that the call had no effect, and so does a connection that never came
// about.
package plain

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/problem"
)

// StartedHeader is the answer header that says whether a call had an effect.
const StartedHeader = "Linkmast-Started"

// RequestHeader is the call header that carries the request's id.
const RequestHeader = "Linkmast-Request-Id"

// InstanceHeader is the call header that names the endpoint instance that is
// meant; another instance at the address refuses the call.
const InstanceHeader = "Linkmast-Instance"

// MaxAnswerBytes bounds an answer.
const MaxAnswerBytes = 16 << 20

// Call is one call of a plain service.
type Call struct {
	// Request is the request's id.
	Request string
	// Instance names the endpoint instance that is meant; empty means any.
	Instance string
	// Method is the HTTP method.
	Method string
	// Path is the path below the service, with its query.
	Path string
	// ContentType is the type of the body.
	ContentType string
	// Body is the whole body.
	Body []byte
}

// Answer is a whole answer.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// ContentType is the type of the body.
	ContentType string
	// Body is the whole body.
	Body []byte
}

// CallError is a call without an answer.
type CallError struct {
	// Ran states what is known of the call's effect.
	Ran problem.Ran
	// Err is the cause.
	Err error
}

// Error returns the cause and what is known of the effect.
func (e *CallError) Error() string {
	return fmt.Sprintf("plain service (%s): %v", e.Ran, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error {
	return e.Err
}

// Client talks to one endpoint of a plain service.
type Client interface {
	// Call makes one call. An error is a *CallError.
	Call(ctx context.Context, c Call) (Answer, error)
	// Probe states whether the endpoint answers.
	Probe(ctx context.Context) error
}

// HTTP is the adapter to a plain service over HTTP.
type HTTP struct {
	client *http.Client
	base   string
}

// NewHTTP returns an adapter to the endpoint at a host and port.
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
	return answer(res)
}

// answer reads a whole answer. One that is cut short or too long is an error.
func answer(res *http.Response) (Answer, error) {
	data, err := io.ReadAll(io.LimitReader(res.Body, MaxAnswerBytes+1))
	if err == nil && len(data) > MaxAnswerBytes {
		err = errors.Errorf("answer is above %d bytes", MaxAnswerBytes)
	}
	if err != nil {
		return Answer{}, &CallError{
			Ran: problem.DidRun,
			Err: err,
		}
	}
	return Answer{
		Status:      res.StatusCode,
		ContentType: res.Header.Get("Content-Type"),
		Body:        data,
	}, nil
}

// Probe implements Client.
func (h *HTTP) Probe(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.base+"/healthz", nil)
	if err != nil {
		return errors.Wrap(err, "probe plain service")
	}
	res, err := h.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "probe plain service")
	}
	defer wirehttp.Drain(res.Body)
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("probe plain service: status %d", res.StatusCode)
	}
	return nil
}
