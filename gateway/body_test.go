// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/platform/platformtest"
)

// TestBodyThatStalls guards against a body that takes memory for as long as its caller keeps the connection.
func TestBodyThatStalls(t *testing.T) {
	w := newCluster(t, 1)
	for _, framing := range []string{"Content-Length: 1000", "Transfer-Encoding: chunked"} {
		t.Run(framing, func(t *testing.T) {
			is := is.New(t)
			c, err := net.Dial("tcp", w.gateways[0].Listen)
			is.NoErr(err)
			defer c.Close()
			fmt.Fprintf(c, "POST /safe/ HTTP/1.1\r\nHost: api.example\r\n%s\r\n", framing)
			h := make(http.Header)
			platformtest.Caller{
				ID:     "stalls",
				Key:    "k1",
				Wait:   500 * time.Millisecond,
				Output: 100,
			}.Set(h)
			h.Write(c)
			io.WriteString(c, "\r\n3\r\nabc")
			c.SetReadDeadline(time.Now().Add(3 * time.Second))
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			is.Equal(res.StatusCode, http.StatusRequestTimeout)
			is.Equal(w.runs("stalls"), 0)
		})
	}
}

// TestSlowBody guards against a body that arrives slowly but in time and is refused, and against a connection
// that the time limit of its last body ends.
func TestSlowBody(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 1)
	c, err := net.Dial("tcp", w.gateways[0].Listen)
	is.NoErr(err)
	defer c.Close()
	in := bufio.NewReader(c)
	for n := range 3 {
		fmt.Fprint(c, "POST /safe/ HTTP/1.1\r\nHost: api.example\r\nContent-Length: 6\r\n")
		h := make(http.Header)
		platformtest.Caller{
			ID:     fmt.Sprintf("slow-%d", n),
			Key:    "k1",
			Wait:   time.Second,
			Output: 100,
		}.Set(h)
		h.Write(c)
		io.WriteString(c, "\r\nabc")
		time.Sleep(200 * time.Millisecond)
		io.WriteString(c, "def")
		res, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, res.Body)
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusOK)
		time.Sleep(1200 * time.Millisecond)
	}
}
