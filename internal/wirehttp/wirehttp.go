// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package wirehttp holds what the HTTP clients and servers of the other packages share: a client
// with bounded dial times, request bodies that are never sent twice, the check of heads and the framing of
// responses, and JSON responses.
package wirehttp

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/linkmast/linkmast/internal/tcp"
)

// Limits of responses, in bytes.
const (
	// MaxErrorBody bounds how much of an error response is read.
	MaxErrorBody = 64 << 10
	// MaxHead bounds the head of a response.
	MaxHead = 64 << 10
	// maxJSON bounds the body of a response that DecodeJSON decodes.
	maxJSON = 64 << 20
)

// Timeouts of Client.
const (
	dialTimeout = 500 * time.Millisecond
	idleTimeout = 30 * time.Second
)

// idlePerHost bounds the idle connections to one address.
const idlePerHost = 64

// Client returns an HTTP client that dials within a bounded time, follows no redirects, limits and checks
// the heads of responses and keeps connections open between calls. The caller bounds the duration of a
// call by its context, and the size of a body as it reads it.
func Client() *http.Client {
	return ClientMaxIdle(0)
}

// ClientMaxIdle is like Client, but the returned client keeps at most the given number of idle
// connections to all addresses together. Zero means no limit.
func ClientMaxIdle(idle int) *http.Client {
	return ClientBy(tcp.Dialer(dialTimeout).DialContext, idle)
}

// ClientBy is like ClientMaxIdle, but the returned client dials with the given function, which must
// bound the time of a dial.
func ClientBy(dial tcp.DialFunc, idle int) *http.Client {
	return &http.Client{
		Transport: checkedTransport{
			Transport: &http.Transport{
				DialContext:            dial,
				MaxIdleConns:           idle,
				MaxIdleConnsPerHost:    idlePerHost,
				IdleConnTimeout:        idleTimeout,
				DisableCompression:     true,
				MaxResponseHeaderBytes: MaxHead,
			},
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// TraceConnection returns a context and a flag that is set once a request made with the
// context obtains a connection. While the flag is false, no byte of the request can have
// reached the server.
func TraceConnection(ctx context.Context) (context.Context, *atomic.Bool) {
	connected := new(atomic.Bool)
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			connected.Store(true)
		},
	}
	return httptrace.WithClientTrace(ctx, trace), connected
}

// once hides the concrete type of a reader and releases the reader at its end.
type once struct {
	r io.Reader
}

// Read implements io.Reader.
func (o *once) Read(p []byte) (int, error) {
	if o.r == nil {
		return 0, io.EOF
	}
	n, err := o.r.Read(p)
	if err != nil {
		o.r = nil
	}
	return n, err
}

// Once returns a request body that net/http cannot rewind. The transport may resend a request that
// it considers idempotent, such as one with an idempotency key, but only if it can read the body
// again. The result drops its reference to r at the end of r or at an error, so that the body can
// be freed while the response still refers to the request.
func Once(r io.Reader) io.Reader {
	return &once{
		r: r,
	}
}

// Drain reads up to MaxErrorBody bytes of the rest of a body and closes it, so that the
// connection can be reused if the rest is not longer.
func Drain(body io.ReadCloser) {
	// The caller has already evaluated the response; an error here only prevents the reuse.
	_, _ = io.Copy(io.Discard, io.LimitReader(body, MaxErrorBody))
	_ = body.Close()
}

// DecodeJSON decodes the body of a response into v. It returns an error for a body above the limit.
func DecodeJSON(body io.Reader, v any) error {
	return json.NewDecoder(io.LimitReader(body, maxJSON)).Decode(v)
}

// JSON sends a response with the given status and v encoded as JSON.
func JSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client may have disconnected, in which case nobody can receive the error.
	_ = json.NewEncoder(w).Encode(v)
}
