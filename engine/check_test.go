// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package engine_test

import (
	"bufio"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/engine"
	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/plain"
	"github.com/linkmast/linkmast/problem"
)

// TestAnswerChecker guards against accepting missing or repeated chunks and those of other
// attempts. The chunks are written as "id:seq", with "!" after the last one.
func TestAnswerChecker(t *testing.T) {
	for _, c := range []struct {
		name   string
		chunks string
		fresh  int
		bad    bool
		ended  bool
	}{
		{"complete", "a:1 a:2 a:3!", 3, false, true},
		{"keep-alive chunks", "a:0 a:1 a:0 a:2!", 2, false, true},
		{"duplicate chunks", "a:1 a:1 a:2 a:1 a:3!", 3, false, true},
		{"duplicate last chunk", "a:1 a:2! a:2!", 2, false, true},
		{"chunk of another attempt", "a:1 b:2", 1, true, false},
		{"late chunk of an earlier attempt", "a:1 a.0:2", 1, true, false},
		{"gap", "a:1 a:3", 1, true, false},
		{"resumed too late", "a:5", 0, true, false},
		{"resumed too early", "a:1 a:2 a:1 a:2 a:3!", 3, false, true},
		{"chunk after the end", "a:1! a:2", 1, true, true},
		{"end missing", "a:1 a:2", 2, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			check := engine.AnswerChecker{
				Attempt: "a",
			}
			fresh, bad := 0, false
			for _, chunk := range strings.Fields(c.chunks) {
				id, rest, _ := strings.Cut(chunk, ":")
				k := engine.Chunk{
					Attempt: id,
					Seq:     int(rest[0] - '0'),
				}
				if strings.HasSuffix(rest, "!") {
					k.End = "length"
				}
				ok, err := check.Accept(k)
				var ae *engine.AnswerError
				bad = bad || errors.As(err, &ae)
				if ok {
					fresh++
				}
			}
			is.Equal(fresh, c.fresh)
			is.Equal(bad, c.bad)
			is.Equal(check.Ended(), c.ended)
		})
	}
}

// serveClosingOnSecond starts a server that responds to the first request on each
// connection, and closes the connection when it has read the second one. It returns the
// address and a counter of the requests that the server has read.
func serveClosingOnSecond(t *testing.T) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	n := new(atomic.Int64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for k := range 2 {
					length := 0
					for {
						line, err := r.ReadString('\n')
						if err != nil {
							return
						}
						if v, ok := strings.CutPrefix(line, "Content-Length: "); ok {
							for _, d := range strings.TrimSpace(v) {
								length = length*10 + int(d-'0')
							}
						}
						if line == "\r\n" {
							break
						}
					}
					if _, err := r.Discard(length); err != nil {
						return
					}
					n.Add(1)
					if k == 0 {
						c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
					}
				}
			}()
		}
	}()
	return l.Addr().String(), n
}

// TestNeverSentTwice guards against an HTTP transport that sends a request again after an
// endpoint has read it and closed the connection.
func TestNeverSentTwice(t *testing.T) {
	t.Run("engine", func(t *testing.T) {
		is := is.New(t)
		address, n := serveClosingOnSecond(t)
		client := engine.NewHTTP(wirehttp.Client(), address)
		is.NoErr(client.Cancel(t.Context(), "warm up"))
		_, err := client.Run(t.Context(), engine.Attempt{ID: "a"})
		var re *engine.RunError
		is.True(errors.As(err, &re))
		is.Equal(re.Ran, problem.MayHaveRun)
		is.Equal(n.Load(), int64(2))
	})
	t.Run("plain service", func(t *testing.T) {
		for _, body := range []string{"", "bid"} {
			is := is.New(t)
			address, n := serveClosingOnSecond(t)
			client := plain.NewHTTP(wirehttp.Client(), address)
			is.NoErr(client.Probe(t.Context()))
			_, err := client.Call(t.Context(), plain.Call{Method: "POST", Path: "/", Body: []byte(body)})
			var ce *plain.CallError
			is.True(errors.As(err, &ce))
			is.Equal(ce.Ran, problem.MayHaveRun)
			is.Equal(n.Load(), int64(2))
		}
	})
}
