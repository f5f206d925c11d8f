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

// TestAnswerChecker follows answers as they may arrive. Each step is a chunk "id:seq",
// with "!" at the end of the answer.
func TestAnswerChecker(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps string
		fresh int
		bad   bool
		ended bool
	}{
		{"whole", "a:1 a:2 a:3!", 3, false, true},
		{"signs of life", "a:0 a:1 a:0 a:2!", 2, false, true},
		{"doubled", "a:1 a:1 a:2 a:1 a:3!", 3, false, true},
		{"doubled end", "a:1 a:2! a:2!", 2, false, true},
		{"crossed", "a:1 b:2", 1, true, false},
		{"late from an earlier attempt", "a:1 a.0:2", 1, true, false},
		{"gap", "a:1 a:3", 1, true, false},
		{"resumed too far on", "a:5", 0, true, false},
		{"resumed too early", "a:1 a:2 a:1 a:2 a:3!", 3, false, true},
		{"after the end", "a:1! a:2", 1, true, true},
		{"no end", "a:1 a:2", 2, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			check := engine.AnswerChecker{
				Attempt: "a",
			}
			fresh, bad := 0, false
			for _, step := range strings.Fields(c.steps) {
				id, rest, _ := strings.Cut(step, ":")
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

// serveClosingOnSecond serves connections: it answers the first request of each, reads the
// second and then closes. It counts the requests.
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

// TestNeverSentTwice proves that a request that an endpoint reads before it
// closes the connection is not sent again by the transport.
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
