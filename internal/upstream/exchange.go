// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/internal/wirehttp"
)

// Request is a request to an endpoint.
type Request struct {
	// Address is the endpoint's host and port.
	Address string
	// Method is the HTTP method.
	Method string
	// Target is the request target of the request line: path and query.
	Target string
	// Host is the value of the Host header.
	Host string
	// Header holds the other headers, which are sent unchanged. It must contain neither Host
	// nor Content-Length.
	Header http.Header
	// Body is the complete body.
	Body []byte
	// MaxIdle is the idle time from which on a pooled connection is not reused. With zero, a
	// new connection is opened.
	MaxIdle time.Duration
	// Check, if not nil, is called when a connection is available, before anything is sent. An
	// error prevents the request from being sent and is the cause of the error of Do.
	Check func() error
	// Matches reports whether a response answers this request. Nil accepts any response.
	Matches func(*http.Response) bool
}

// Error reports that a request got no response.
type Error struct {
	// Sent is true if the endpoint may have received part of the request.
	Sent bool
	// Err is the cause.
	Err error
}

// Error returns the cause, prefixed with "sent: " or "not sent: ".
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

// Exchange is a request with its response.
type Exchange struct {
	// Response is the response. Its body reads from the connection.
	Response *http.Response

	pool *Pool
	conn *Conn
	// stop prevents the end of the context from closing the connection. It returns false if
	// the context has ended already.
	stop func() bool
	// written receives the result of writing the request.
	written chan error
	// complete is true if the body was read to its end.
	complete bool
}

// maxResponses bounds the responses that are read for a request, provisional ones included.
const maxResponses = 4

// Do sends a request and returns once it has read the header of the response. If ctx ends
// before the exchange is closed, the connection is closed. The caller must close the exchange.
// The error is an *Error.
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

// notSent returns the error of a request of which nothing was written.
func notSent(err error) *Error {
	return &Error{
		Sent: false,
		Err:  err,
	}
}

// write sends the request. A body that may not fit into the buffers is sent by another
// goroutine, because the endpoint may respond before it has read the body.
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
	// A bufio.Writer keeps its first error, and Flush returns it.
	_, _ = fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		_, _ = fmt.Fprintf(w, "Content-Length: %d\r\n", len(r.Body))
	}
	if err := r.Header.Write(w); err != nil {
		return errors.Wrap(err, "write request header")
	}
	_, _ = io.WriteString(w, "\r\n")
	_, _ = w.Write(r.Body)
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "write request")
	}
	return nil
}

// readHead reads responses until one matches the request. It skips provisional responses and
// those to other requests. A response with a malformed head is an error, as what follows it on the
// connection can't be told.
func (x *Exchange) readHead(r Request) error {
	req := &http.Request{
		Method: r.Method,
	}
	for range maxResponses {
		x.conn.head.begin()
		res, err := wirehttp.ReadResponse(x.conn.reader, req)
		x.conn.head.end()
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		if res.StatusCode >= http.StatusContinue && res.StatusCode < http.StatusOK {
			// A provisional response precedes the final one.
			continue
		}
		if r.Matches == nil || r.Matches(res) {
			x.Response = res
			return nil
		}
		if res.Close || wirehttp.FramingOf(res) == wirehttp.ByClose {
			return errors.New("response to another request, after which the connection ends")
		}
		if err := skip(res.Body); err != nil {
			return errors.Wrap(err, "response to another request")
		}
	}
	return errors.New("too many responses that don't answer the request")
}

// skip reads a body to its end. It returns ErrUnbounded if the body exceeds maxSkipped.
func skip(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxSkipped+1))
	if err == nil && n > maxSkipped {
		err = ErrUnbounded
	}
	return err
}

// release ends an exchange of which nothing was sent. It returns the connection to the pool, or
// closes it if the context has ended.
func (x *Exchange) release() {
	if !x.stop() {
		x.conn.close()
		return
	}
	x.pool.put(x.conn)
}

// Via returns the ID of the instance that forwards the connection; empty for a direct one.
func (x *Exchange) Via() string {
	return x.conn.via()
}

// Discard reads the rest of the body, so that Close can keep the connection. If the rest has more
// than limit bytes or does not arrive in the given time, it closes the connection.
func (x *Exchange) Discard(limit int64, within time.Duration) {
	timer := time.AfterFunc(within, x.conn.close)
	n, err := io.Copy(io.Discard, io.LimitReader(x.Response.Body, limit+1))
	x.complete = timer.Stop() && err == nil && n <= limit
}

// MarkComplete records that the body was read to its end. Without this call, Close closes the
// connection.
func (x *Exchange) MarkComplete() {
	x.complete = true
}

// Close ends the exchange. It returns the connection to the pool if the request was written and
// the response read completely, the endpoint keeps the connection open and the context has not
// ended. Otherwise it closes the connection.
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
