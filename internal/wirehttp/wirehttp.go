// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package wirehttp holds what the HTTP adapters share: a client with bounded
// dial times, bodies that are never sent twice, and clean closing.
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

// MaxErrorBody bounds how much of a refusal is read, in bytes.
const MaxErrorBody = 64 << 10

// The times of Client.
const (
	dialTimeout = 500 * time.Millisecond
	idleTimeout = 30 * time.Second
)

// idlePerHost bounds the idle connections to one address.
const idlePerHost = 64

// Client returns an HTTP client that dials within a bounded time, follows no
// redirect and keeps connections open between calls. Time-outs of whole calls
// are up to the caller's context.
func Client() *http.Client {
	return ClientMaxIdle(0)
}

// ClientMaxIdle returns a client like that of Client which keeps at most so many idle connections,
// to all addresses together; zero means no bound.
func ClientMaxIdle(idle int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         tcp.Dialer(dialTimeout).DialContext,
			MaxIdleConns:        idle,
			MaxIdleConnsPerHost: idlePerHost,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// TraceConnection returns a context that notes whether a request made with it got a
// connection. Without one, nothing of the request can have arrived.
func TraceConnection(ctx context.Context) (context.Context, *atomic.Bool) {
	connected := new(atomic.Bool)
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			connected.Store(true)
		},
	}
	return httptrace.WithClientTrace(ctx, trace), connected
}

// once hides the type of a reader, and lets go of it at its end.
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

// Once returns a body that net/http can't rewind. The transport sends a
// request again by itself when it takes it for repeatable, and it does so for
// a request with an idempotency key; a body that can't be had again keeps it
// from that. What r holds is free once it has been sent, though the request
// lives on with its answer.
func Once(r io.Reader) io.Reader {
	return &once{
		r: r,
	}
}

// Drain reads what is left of a small body and closes it, so that the
// connection can be used again.
func Drain(body io.ReadCloser) {
	// The answer has been judged by now; a failed read changes nothing.
	_, _ = io.Copy(io.Discard, io.LimitReader(body, MaxErrorBody))
	_ = body.Close()
}

// JSON sends v as a whole answer.
func JSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(v)
}
