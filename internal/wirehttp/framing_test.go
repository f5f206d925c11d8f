// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package wirehttp_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/internal/wirehttp"
)

// TestFramingOf guards against a response without framing that counts as framed.
func TestFramingOf(t *testing.T) {
	for _, row := range []struct {
		name string
		head string
		want wirehttp.Framing
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n", wirehttp.ByLength},
		{"empty", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", wirehttp.ByLength},
		{"no content", "HTTP/1.1 204 No Content\r\n", wirehttp.ByLength},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", wirehttp.ByChunks},
		{"chunks and a length", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n", wirehttp.ByChunks},
		{"neither", "HTTP/1.1 200 OK\r\n", wirehttp.ByClose},
		{"neither, closing", "HTTP/1.1 200 OK\r\nConnection: close\r\n", wirehttp.ByClose},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n", wirehttp.ByClose},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			res, err := http.ReadResponse(bufio.NewReader(strings.NewReader(row.head+"\r\nabc")), nil)
			is.NoErr(err)
			is.Equal(wirehttp.FramingOf(res), row.want)
		})
	}
	t.Run("answer to HEAD", func(t *testing.T) {
		is := is.New(t)
		req := &http.Request{
			Method: http.MethodHead,
		}
		res, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n\r\n")), req)
		is.NoErr(err)
		is.Equal(wirehttp.FramingOf(res), wirehttp.ByLength)
	})
}
