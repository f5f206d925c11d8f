// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Request is a request to an endpoint.
type Request struct {
	// Address is the endpoint's host and port.
	Address string
	// Method is the HTTP method.
	Method string
	// Target is the path with its query, as it is written on the wire.
	Target string
	// Host is the host that the caller named.
	Host string
	// Header is sent as it is; it holds neither Host nor Content-Length.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// MaxIdle bounds how long a connection may have rested; zero means that a
	// new one is opened.
	MaxIdle time.Duration
	// Check is called once there is a connection, just before the request is sent; its error
	// keeps it from being sent. Nil means no check.
	Check func() error
	// Matches states whether an answer belongs to the request.
	Matches func(*http.Response) bool
}

// Error is a request without an answer.
type Error struct {
	// Sent states whether the endpoint may have got the request.
	Sent bool
	// Err is the cause.
	Err error
}

// Error returns the cause, and whether the request was sent.
func (e *Error) Error() string {
	if e.Sent {
		return "sent: " + e.Err.Error()
	}
	return "not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Exchange is a request that is under way or answered.
type Exchange struct {
	// Response is the answer. Its body is read from the connection.
	Response *http.Response

	pool *Pool
	conn *Conn
	// stop keeps the end of the context from closing the connection. It returns
	// false when that has happened.
	stop func() bool
	// written gets how the writing of the request ended.
	written chan error
	// complete states that the body was read to its end.
	complete bool
}

// maxUnmatched bounds the answers to other requests that are skipped.
const maxUnmatched = 4

// Do sends a request and returns when the head of its answer is there. The end
// of ctx closes the connection, also later on. The caller closes the exchange. The
// error is an *Error.
func (p *Pool) Do(ctx context.Context, r Request) (*Exchange, error) {
	c, err := p.get(ctx, r.Address, r.MaxIdle)
	if err != nil {
		return nil, notSent(err)
	}
	x := &Exchange{
		pool:    p,
		conn:    c,
		stop:    context.AfterFunc(ctx, c.close),
		written: make(chan error, 1),
	}
	if err := ctx.Err(); err != nil {
		x.Close()
		return nil, notSent(err)
	}
	if r.Check != nil {
		if err := r.Check(); err != nil {
			x.release()
			return nil, notSent(err)
		}
	}
	x.write(r)
	if err := x.readHead(r); err != nil {
		x.Close()
		return nil, &Error{
			Sent: true,
			Err:  err,
		}
	}
	return x, nil
}

// notSent returns the error of a request of which no byte was written.
func notSent(err error) *Error {
	return &Error{
		Sent: false,
		Err:  err,
	}
}

// write sends the request. A body that may not fit into the connection's
// buffers is sent beside the reading of the answer, as an endpoint may answer
// before it has read it.
func (x *Exchange) write(r Request) {
	if len(r.Body) <= bufferBytes {
		x.written <- x.conn.send(r)
		return
	}
	go func() {
		x.written <- x.conn.send(r)
	}()
}

// send writes a request to the connection.
func (c *Conn) send(r Request) error {
	w := c.writer
	// Errors of a buffered writer stay until Flush returns them.
	_, _ = fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		_, _ = fmt.Fprintf(w, "Content-Length: %d\r\n", len(r.Body))
	}
	if err := r.Header.Write(w); err != nil {
		return errors.Wrap(err, "write header")
	}
	_, _ = io.WriteString(w, "\r\n")
	_, _ = w.Write(r.Body)
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "write request")
	}
	return nil
}

// readHead reads answers until there is one that belongs to the request.
func (x *Exchange) readHead(r Request) error {
	asked := &http.Request{
		Method: r.Method,
	}
	for range maxUnmatched {
		res, err := http.ReadResponse(x.conn.reader, asked)
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		if res.StatusCode >= http.StatusContinue && res.StatusCode < http.StatusOK {
			// It only announces the answer.
			continue
		}
		if r.Matches == nil || r.Matches(res) {
			x.Response = res
			return nil
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil || res.Close {
			return errors.New("answer belongs to another request")
		}
	}
	return errors.New("answers belong to other requests")
}

// release gives back the connection of a request of which no byte was written.
func (x *Exchange) release() {
	if !x.stop() {
		x.conn.close()
		return
	}
	x.pool.put(x.conn)
}

// MarkComplete notes that the body was read to its end, so that the connection can
// serve another request.
func (x *Exchange) MarkComplete() {
	x.complete = true
}

// Close ends the exchange. A connection is kept only after a whole exchange.
func (x *Exchange) Close() {
	free := x.stop()
	sent := false
	select {
	case err := <-x.written:
		sent = err == nil
	default:
	}
	if !free || !sent || !x.complete || x.Response.Close {
		x.conn.close()
		return
	}
	x.conn.readKeepAlive(x.Response.Header)
	x.pool.put(x.conn)
}
