// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/platform/platformtest"
)

// malformedHead is a status line or header line, without its end, that no HTTP/1.1 response has. If
// chunks is set, the body is in chunks.
type malformedHead struct {
	name   string
	status string
	line   string
	chunks bool
}

// malformedStatuses are status lines that are not those of a final response.
var malformedStatuses = []malformedHead{
	{name: "status 000", status: "HTTP/1.1 000 Unknown"},
	{name: "status 007", status: "HTTP/1.1 007 Unknown"},
	{name: "status 099", status: "HTTP/1.1 099 Unknown"},
	{name: "status +20", status: "HTTP/1.1 +20 OK"},
	{name: "status -00", status: "HTTP/1.1 -00 OK"},
	{name: "status 101", status: "HTTP/1.1 101 Switching Protocols"},
	{name: "status 600", status: "HTTP/1.1 600 Unknown"},
	{name: "status 999", status: "HTTP/1.1 999 Unknown"},
	{name: "NUL in the reason", status: "HTTP/1.1 200 O\x00K"},
	{name: "CR in the reason", status: "HTTP/1.1 200 O\rK"},
	{name: "version 2.0", status: "HTTP/2.0 200 OK"},
	{name: "version 0.9", status: "HTTP/0.9 200 OK"},
}

// malformedLines are header lines that are not those of a response.
var malformedLines = []malformedHead{
	{name: "blank in a name", line: "X Odd: 1"},
	{name: "blank after a name", line: "X-Odd : 1"},
	{name: "blank after Content-Length", line: "Content-Length : 3"},
	{name: "blank after Transfer-Encoding", line: "Transfer-Encoding : chunked", chunks: true},
	{name: "chunks in HTTP/1.0", status: "HTTP/1.0 200 OK", line: "Transfer-Encoding: chunked", chunks: true},
	{name: "tab after a name", line: "X-Odd\t: 1"},
	{name: "NUL in a name", line: "X\x00Odd: 1"},
	{name: "BEL in a name", line: "X\aOdd: 1"},
	{name: "DEL in a name", line: "X\x7fOdd: 1"},
	{name: "CR in a name", line: "X\rOdd: 1"},
	{name: "byte above 127 in a name", line: "X\xe9Odd: 1"},
	{name: "no name", line: ": 1"},
	{name: "NUL in a value", line: "X-Odd: a\x00b"},
}

// TestMalformedHead guards against an answer whose head is malformed and that reaches its caller, or is
// not replaced by that of another endpoint where it may be.
func TestMalformedHead(t *testing.T) {
	for _, list := range [][]malformedHead{malformedStatuses, malformedLines} {
		for _, row := range list {
			t.Run(row.name, func(t *testing.T) {
				forEachPath(t, func(t *testing.T, w *cluster) { w.assertNotForwarded(t, row) })
			})
		}
	}
}

// assertNotForwarded checks that no caller gets an answer with a malformed head: the first one of two
// endpoints, and all.
func (w *cluster) assertNotForwarded(t *testing.T, m malformedHead) {
	t.Helper()
	is := is.New(t)
	for _, c := range []struct {
		path  string
		names []string
	}{
		{"/safe/", []string{"p1", "p2"}},
		{"/stream/", []string{"e1", "e2"}},
	} {
		w.setHead(m, 1, c.names...)
		id := "first" + c.path
		g := w.sendWithin(t, request{id: id, path: c.path, tokens: 100})
		assertWhole(t, g)
		is.Equal(g.body, wholeBody(id, c.path))
		is.Equal(w.runs(id), 2)
	}
	w.setHead(m, 0, "p1", "p2", "e1", "e2")
	for path, runs := range map[string]int{"/safe/": 2, "/stream/": 2, "/unsafe/": 1, "/once/": 1} {
		g := w.sendWithin(t, request{id: path, path: path, tokens: 100})
		is.NoErr(g.err)
		is.Equal(g.status, http.StatusBadGateway)
		is.Equal(w.runs(path), runs)
	}
}

// setHead makes the next answers of the named endpoints have a malformed head; all of their answers if
// the number is zero.
func (w *cluster) setHead(m malformedHead, answers int64, names ...string) {
	w.setEngineFaults(platformtest.EndpointFaults{
		Head: &platformtest.RawHead{
			Status:  m.status,
			Line:    m.line,
			Chunks:  m.chunks,
			Answers: answers,
		},
	}, names...)
}

// wholeBody returns the body of the whole answer to a request without a body.
func wholeBody(id, path string) string {
	if path == "/stream/" || path == "/once/" {
		return events(id, 10)
	}
	return platformtest.PlainAnswer(id, nil)
}

// soundHeads are unusual heads of responses that are valid, or that a recipient may accept.
var soundHeads = []malformedHead{
	{name: "no reason", status: "HTTP/1.1 200 "},
	{name: "no blank after the status", status: "HTTP/1.1 200"},
	{name: "bytes above 127 in the reason", status: "HTTP/1.1 200 \xe9t\xe9"},
	{name: "tab in the reason", status: "HTTP/1.1 200 all\tright"},
	{name: "version 1.0", status: "HTTP/1.0 200 OK"},
	{name: "unregistered status", status: "HTTP/1.1 299 Odd"},
	{name: "all characters of names", line: "X!#$%&'*+-.^_`|~09: 1"},
	{name: "no value", line: "X-Odd:"},
	{name: "bytes above 127 in a value", line: "X-Odd: \xe9"},
	{name: "value in two lines", line: "X-Odd: a\r\n b"},
}

// TestUnusualHead guards against valid answers that are taken for malformed ones.
func TestUnusualHead(t *testing.T) {
	w := newCluster(t, 1)
	for n, row := range soundHeads {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			w.setHead(row, 0, "p1", "p2", "e1", "e2")
			for _, path := range paths {
				id := fmt.Sprint("unusual", n, path)
				g := w.send(0, request{id: id, path: path, tokens: 100})
				is.NoErr(g.err)
				is.Equal(g.status/100, 2)
				is.Equal(g.body, wholeBody(id, path))
				is.Equal(w.runs(id), 1)
			}
		})
	}
}
