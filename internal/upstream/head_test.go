// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package upstream_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/internal/upstream"
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
