// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package upstream_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/internal/steady/steadytest"
	"github.com/linkmast/linkmast/internal/upstream"
)

// endpoint is an HTTP server that writes raw responses.
type endpoint struct {
	address string
	// requests counts the requests that were read, and conns the accepted connections.
	requests atomic.Int64
	conns    atomic.Int64
}

// newEndpoint starts a server that calls answer for each request, with the index n of the
// request on its connection. If answer returns false, the server closes the connection.
func newEndpoint(t *testing.T, answer func(c net.Conn, r *http.Request, n int) bool) *endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	e := &endpoint{
		address: l.Addr().String(),
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.conns.Add(1)
			go e.serve(c, answer)
		}
	}()
	return e
}

// serve reads requests from a connection until answer returns false or a read fails.
func (e *endpoint) serve(c net.Conn, answer func(c net.Conn, r *http.Request, n int) bool) {
	defer c.Close()
	in := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		e.requests.Add(1)
		if !answer(c, r, n) {
			return
		}
		io.Copy(io.Discard, r.Body)
	}
}

// request returns a request that only a response with the same id in its header matches.
func (e *endpoint) request(id string) upstream.Request {
	return upstream.Request{
		Address: e.address,
		Method:  http.MethodPost,
		Target:  "/x",
		Host:    "h",
		Header:  http.Header{"Id": {id}},
		Body:    []byte("body"),
		MaxIdle: time.Minute,
		Matches: func(res *http.Response) bool { return res.Header.Get("Id") == id },
	}
}

// ok returns a response with status 200, an id in its header, and a body.
func ok(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// do sends a request and reads the complete response.
func do(t *testing.T, p *upstream.Pool, r upstream.Request) (string, error) {
	t.Helper()
	x, err := p.Do(t.Context(), r)
	if err != nil {
		return "", err
	}
	defer x.Close()
	data, err := io.ReadAll(x.Response.Body)
	if err == nil {
		x.MarkComplete()
	}
	return string(data), err
}

func TestConnections(t *testing.T) {
	for _, row := range []struct {
		name    string
		answer  func(c net.Conn, r *http.Request, n int) bool
		maxIdle time.Duration
		pause   time.Duration
		conns   int64
	}{
		{"kept", func(c net.Conn, r *http.Request, _ int) bool {
			io.WriteString(c, ok(r.Header.Get("Id"), "hi"))
			return true
		}, time.Minute, 0, 1},
		{"closed by the endpoint after the answer", func(c net.Conn, r *http.Request, _ int) bool {
			io.WriteString(c, ok(r.Header.Get("Id"), "hi"))
			return false
		}, time.Minute, 20 * time.Millisecond, 3},
		{"endpoint sends Connection: close", func(c net.Conn, r *http.Request, _ int) bool {
			io.WriteString(c, strings.Replace(ok(r.Header.Get("Id"), "hi"), "\r\n", "\r\nConnection: close\r\n", 1))
			return true
		}, time.Minute, 0, 3},
		{"endpoint sends Keep-Alive timeout of zero", func(c net.Conn, r *http.Request, _ int) bool {
			io.WriteString(c, strings.Replace(ok(r.Header.Get("Id"), "hi"), "\r\n", "\r\nKeep-Alive: timeout=0\r\n", 1))
			return true
		}, time.Minute, 0, 3},
		{"more bytes after the answer", func(c net.Conn, r *http.Request, _ int) bool {
			io.WriteString(c, ok(r.Header.Get("Id"), "hi")+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
			return true
		}, time.Minute, 20 * time.Millisecond, 3},
		{"idle for too long", func(c net.Conn, r *http.Request, _ int) bool {
			io.WriteString(c, ok(r.Header.Get("Id"), "hi"))
			return true
		}, 10 * time.Millisecond, 30 * time.Millisecond, 3},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			e := newEndpoint(t, row.answer)
			p := upstream.New(upstream.Settings{})
			for i := range 3 {
				r := e.request(fmt.Sprint(i))
				r.MaxIdle = row.maxIdle
				body, err := do(t, p, r)
				is.NoErr(err)
				is.Equal(body, "hi")
				time.Sleep(row.pause)
			}
			is.Equal(e.conns.Load(), row.conns)
			is.Equal(e.requests.Load(), int64(3)) // no request is sent twice
		})
	}
}

// TestSuspended guards against the reuse of a connection after the host was suspended: the
// endpoint may have closed it, and a request that must not run twice would fail.
func TestSuspended(t *testing.T) {
	is := is.New(t)
	m := steadytest.New(t)
	e := newEndpoint(t, func(c net.Conn, r *http.Request, _ int) bool {
		io.WriteString(c, ok(r.Header.Get("Id"), "hi"))
		return true
	})
	p := upstream.New(upstream.Settings{})
	for i, rest := range []time.Duration{0, time.Second, 0} {
		r := e.request(fmt.Sprint(i))
		r.MaxIdle = time.Second
		_, err := do(t, p, r)
		is.NoErr(err)
		m.Suspend(rest)
	}
	is.Equal(e.conns.Load(), int64(2))
}

// TestLateExtraAnswer guards against a late response to an earlier request being taken for the
// response to the next one.
func TestLateExtraAnswer(t *testing.T) {
	is := is.New(t)
	e := newEndpoint(t, func(c net.Conn, r *http.Request, n int) bool {
		if n == 1 {
			io.WriteString(c, ok("0", "wrong"))
		}
		io.WriteString(c, ok(r.Header.Get("Id"), "right"))
		return true
	})
	p := upstream.New(upstream.Settings{})
	for i := range 2 {
		body, err := do(t, p, e.request(fmt.Sprint(i)))
		is.NoErr(err)
		is.Equal(body, "right")
	}
	is.Equal(e.conns.Load(), int64(1))
}

// TestNoAnswer guards against a request that is sent again, or reported as not sent, when there
// is no complete response.
func TestNoAnswer(t *testing.T) {
	for _, row := range []struct {
		name   string
		answer func(c net.Conn, r *http.Request, n int) bool
	}{
		{"closed", func(net.Conn, *http.Request, int) bool { return false }},
		{"malformed response", func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "garbage\r\n\r\n")
			return false
		}},
		{"only responses to other requests", func(c net.Conn, _ *http.Request, _ int) bool {
			for range 6 {
				io.WriteString(c, ok("other", "x"))
			}
			return false
		}},
		{"body cut short", func(c net.Conn, r *http.Request, _ int) bool {
			io.WriteString(c, strings.Replace(ok(r.Header.Get("Id"), "hello"), "hello", "hel", 1))
			return false
		}},
		{"reset without a length", func(c net.Conn, r *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nConnection: close\r\n\r\npart")
			time.Sleep(20 * time.Millisecond)
			c.(*net.TCPConn).SetLinger(0)
			return false
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			e := newEndpoint(t, row.answer)
			p := upstream.New(upstream.Settings{})
			_, err := do(t, p, e.request("0"))
			is.True(err != nil)
			var u *upstream.Error
			if errors.As(err, &u) {
				is.True(u.Sent)
			}
			is.Equal(e.requests.Load(), int64(1))
		})
	}
}

func TestUnreachable(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	l.Close()
	_, err = upstream.New(upstream.Settings{}).Do(t.Context(), upstream.Request{Address: address})
	var u *upstream.Error
	is.True(errors.As(err, &u))
	is.True(!u.Sent)
}

// TestEarlyAnswer guards against reuse of a connection whose request was still being written
// when the response was complete.
func TestEarlyAnswer(t *testing.T) {
	is := is.New(t)
	big := strings.Repeat("b", 4<<20)
	seen := make(chan string, 2)
	e := newEndpoint(t, func(c net.Conn, r *http.Request, _ int) bool {
		io.WriteString(c, ok(r.Header.Get("Id"), "early"))
		time.Sleep(50 * time.Millisecond)
		data, _ := io.ReadAll(r.Body)
		seen <- strings.Trim(string(data), "b")
		return true
	})
	p := upstream.New(upstream.Settings{})
	for i := range 2 {
		r := e.request(fmt.Sprint(i))
		r.Body = []byte(big)
		body, err := do(t, p, r)
		is.NoErr(err)
		is.Equal(body, "early")
	}
	is.Equal(<-seen, "")
	is.Equal(<-seen, "")
	is.Equal(e.conns.Load(), int64(2)) // a connection with unsent data is not reused
}

// TestCheckBeforeSending guards against sending a request whose check fails, on a new or a
// reused connection, and against losing that connection.
func TestCheckBeforeSending(t *testing.T) {
	e := newEndpoint(t, func(c net.Conn, r *http.Request, _ int) bool {
		io.WriteString(c, ok(r.Header.Get("Id"), "answer"))
		return true
	})
	p := upstream.New(upstream.Settings{})
	refused := errors.New("refused")
	for _, sent := range []int64{0, 1} {
		is := is.New(t)
		checked := e.request("checked")
		checked.Check = func() error { return refused }
		_, err := do(t, p, checked)
		is.True(errors.Is(err, refused))
		var u *upstream.Error
		is.True(errors.As(err, &u) && !u.Sent)
		is.Equal(e.requests.Load(), sent)
		_, err = do(t, p, e.request(fmt.Sprint(sent)))
		is.NoErr(err)
	}
	is.New(t).Equal(p.Dials(), int64(1))
}

// TestPrepare guards against a prepared connection that the next request does not use.
func TestPrepare(t *testing.T) {
	is := is.New(t)
	e := newEndpoint(t, func(c net.Conn, r *http.Request, _ int) bool {
		io.WriteString(c, ok(r.Header.Get("Id"), "hi"))
		return true
	})
	p := upstream.New(upstream.Settings{})
	is.NoErr(p.Prepare(t.Context(), e.address))
	_, err := do(t, p, e.request("1"))
	is.NoErr(err)
	is.Equal(p.Dials(), int64(1))
	is.Equal(e.conns.Load(), int64(1))
}

// TestResetDuringUpload guards against an unframed answer that looks complete because the request's body,
// which was still being written, met the reset of the connection.
func TestResetDuringUpload(t *testing.T) {
	e := newEndpoint(t, func(c net.Conn, r *http.Request, _ int) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nid: 1\n\n", r.Header.Get("Id"))
		time.Sleep(5 * time.Millisecond)
		c.(*net.TCPConn).SetLinger(0)
		return false
	})
	for n := range 50 {
		p := upstream.New(upstream.Settings{})
		r := e.request(fmt.Sprint(n))
		r.Body = make([]byte, 16<<20)
		if body, err := do(t, p, r); err == nil {
			t.Fatalf("request %d: %q counts as complete", n, body)
		}
	}
}
