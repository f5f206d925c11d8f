// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package upstream_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/internal/upstream"
	"github.com/linkmast/linkmast/internal/wirehttp"
)

// heads are heads of responses to the request with the ID 0.
var heads = map[string]string{
	"length":       "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Type: text/plain\r\nContent-Length: 10\r\n\r\n",
	"empty":        "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 0\r\n\r\n",
	"no content":   "HTTP/1.1 204 No Content\r\nId: 0\r\n\r\n",
	"chunked":      "HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n",
	"unframed":     "HTTP/1.1 200 OK\r\nId: 0\r\nConnection: close\r\n\r\n",
	"HTTP/1.0":     "HTTP/1.0 200 OK\r\nId: 0\r\n\r\n",
	"stream":       "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\r\n",
	"bare LF":      "HTTP/1.1 200 OK\nId: 0\nConnection: close\n\n",
	"provisional":  "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nId: 0\r\n\r\n",
	"folded line":  "HTTP/1.1 200 OK\r\nId: 0\r\nX-Line: a\r\n b\r\nConnection: close\r\n\r\n",
	"second after": "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\nId: 0\r\nConnection: close\r\n\r\n",
}

// TestHeadCutShort guards against a response that looks complete although its connection ended inside its head.
func TestHeadCutShort(t *testing.T) {
	for name, head := range heads {
		for _, reset := range []bool{false, true} {
			end := ", closed"
			if reset {
				end = ", reset"
			}
			t.Run(name+end, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				for n := range len(head) {
					e := newEndpoint(t, func(c net.Conn, _ *http.Request, _ int) bool {
						io.WriteString(c, head[:n])
						if reset {
							c.(*net.TCPConn).SetLinger(0)
						}
						return false
					})
					body, err := do(t, upstream.New(upstream.Settings{}), e.request("0"))
					if err == nil {
						t.Errorf("a response that ended after %q looks complete, with the body %q", last(head[:n]), body)
					}
					is.Equal(e.requests.Load(), int64(1))
				}
			})
		}
	}
}

// last returns the last line of a text.
func last(text string) string {
	return text[strings.LastIndex(strings.TrimRight(text, "\r\n"), "\n")+1:]
}

// malformedAnswers are answers to the request with the ID 0 of which a head is malformed.
var malformedAnswers = map[string]string{
	"status":                         "HTTP/1.1 000 OK\r\nId: 0\r\nContent-Length: 0\r\n\r\n",
	"another protocol":               "HTTP/1.1 101 Switching Protocols\r\n\r\n" + ok("0", "hi"),
	"before the answer":              "HTTP/1.1 099 Early Hints\r\nId: a\r\nContent-Length: 0\r\n\r\n" + ok("0", "hi"),
	"status of another answer":       "HTTP/1.1 600 OK\r\nId: a\r\nContent-Length: 1\r\n\r\na" + ok("0", "hi"),
	"name of a field":                "HTTP/1.1 200 OK\r\nId: 0\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n",
	"blank before a colon":           "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length : 2\r\nContent-Length: 2\r\n\r\nhi",
	"framing with a blank":           "HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
	"name in another answer":         "HTTP/1.1 200 OK\r\nId: a\r\nX-Odd : 1\r\nContent-Length: 1\r\n\r\na" + ok("0", "hi"),
	"name in a provisional answer":   "HTTP/1.1 103 Early Hints\r\nX-Odd : 1\r\n\r\n" + ok("0", "hi"),
	"reason of a provisional answer": "HTTP/1.1 103 Early\x00Hints\r\n\r\n" + ok("0", "hi"),
}

// TestMalformedHead guards against a response with a malformed head that is taken for an answer, or whose
// connection is used for a later request.
func TestMalformedHead(t *testing.T) {
	for name, answer := range malformedAnswers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newEndpoint(t, func(c net.Conn, r *http.Request, _ int) bool {
				if id := r.Header.Get("Id"); id != "0" {
					answer = ok(id, "hi")
				}
				io.WriteString(c, answer)
				// A body that is taken to end with the connection must not block the test.
				time.AfterFunc(time.Second, func() { c.Close() })
				return true
			})
			p := upstream.New(upstream.Settings{})
			_, err := do(t, p, e.request("0"))
			is.True(errors.Is(err, wirehttp.ErrMalformedHead))
			var failed *upstream.Error
			is.True(errors.As(err, &failed) && failed.Sent) // the request may have run
			is.Equal(e.requests.Load(), int64(1))
			body, err := do(t, p, e.request("1"))
			is.NoErr(err)
			is.Equal(body, "hi")
			is.Equal(e.conns.Load(), int64(2))
		})
	}
}
