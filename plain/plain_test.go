// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package plain_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/plain"
	"github.com/linkmast/linkmast/problem"
)

// answerWhole is the complete body of the service's answers.
const answerWhole = "answer to the call"

// service answers without framing. If end is set, it sends half of each answer and calls end with the
// connection.
type service struct {
	end func(c net.Conn)
}

// ServeHTTP implements http.Handler.
func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	// Data that was not read makes the close a reset.
	io.Copy(io.Discard, r.Body)
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	body := answerWhole
	if s.end != nil {
		body = body[:len(body)/2]
	}
	io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+body)
	if s.end != nil {
		// A reset would discard what was not read yet.
		time.Sleep(20 * time.Millisecond)
		s.end(c)
	}
}

// assertIncomplete checks that a call ran and has no answer.
func assertIncomplete(t *testing.T, a plain.Answer, err error) {
	t.Helper()
	is := is.New(t)
	var ce *plain.CallError
	is.True(errors.As(err, &ce))
	is.Equal(ce.Ran, problem.DidRun)
	is.Equal(a, plain.Answer{})
}

// TestUnframedAnswer guards against an answer that ends with its connection, of an endpoint that crashed
// or reset it, that counts as complete, and against a complete one that is lost.
func TestUnframedAnswer(t *testing.T) {
	for _, row := range []struct {
		name string
		end  func(s *httptest.Server) func(c net.Conn)
	}{
		{"complete", nil},
		{"endpoint crashes", func(s *httptest.Server) func(c net.Conn) {
			return func(net.Conn) { s.Listener.Close() }
		}},
		{"reset", func(*httptest.Server) func(c net.Conn) {
			return func(c net.Conn) { c.(*net.TCPConn).SetLinger(0) }
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			h := new(service)
			s := httptest.NewServer(h)
			defer s.Close()
			if row.end != nil {
				h.end = row.end(s)
			}
			client := plain.NewHTTP(wirehttp.Client(), s.Listener.Addr().String())
			a, err := client.Call(t.Context(), plain.Call{
				Method: http.MethodPost,
				Path:   "/",
			})
			if row.end != nil {
				assertIncomplete(t, a, err)
				return
			}
			is.NoErr(err)
			is.Equal(string(a.Body), answerWhole)
		})
	}
}
