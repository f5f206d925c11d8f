// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/internal/tcp/tcptest"
	"github.com/linkmast/linkmast/platform/platformtest"
)

// cuts are places and ways in which a stream ends inside an event.
var cuts = []struct {
	name string
	cut  platformtest.Cut
}{
	{"inside the first event, closed", platformtest.Cut{Bytes: 9}},
	{"after one byte, closed", platformtest.Cut{AfterEvents: 3, Bytes: 1}},
	{"before the blank line, closed", platformtest.Cut{AfterEvents: 3, Bytes: -1}},
	{"inside an event, chunks ended", platformtest.Cut{AfterEvents: 3, Bytes: 9, End: platformtest.CutFramed}},
	{"inside an event, reset", platformtest.Cut{AfterEvents: 3, Bytes: 9, End: platformtest.CutReset}},
}

// newForwardingCluster returns a cluster whose instance 0 reaches endpoints directly, or only through
// instance 1.
func newForwardingCluster(t *testing.T, forwarded bool) *cluster {
	t.Helper()
	w := newCluster(t, 2)
	if forwarded {
		w.links[0].Set(tcptest.RefuseNew)
		w.await("forwarding", func() bool {
			return w.send(0, request{id: "forwarding", path: "/safe/"}).status == http.StatusOK
		})
	}
	return w
}

// forEachPath runs a test on a direct connection and on one through another instance.
func forEachPath(t *testing.T, run func(t *testing.T, w *cluster)) {
	t.Helper()
	for _, forwarded := range []bool{false, true} {
		t.Run(fmt.Sprintf("forwarded %t", forwarded), func(t *testing.T) {
			t.Parallel()
			run(t, newForwardingCluster(t, forwarded))
		})
	}
}

// setEngineFaults sets the faults of the named engines.
func (w *cluster) setEngineFaults(f platformtest.EndpointFaults, names ...string) {
	for _, name := range names {
		w.endpoints[name].SetFaults(f)
	}
}

// assertBrokenOff checks that a caller can see that an answer is incomplete, and that it received only
// complete events.
func assertBrokenOff(t *testing.T, id string, g response) {
	t.Helper()
	is := is.New(t)
	if g.status == http.StatusOK {
		is.True(g.err != nil)
		is.Equal(g.body, events(id, strings.Count(g.body, "\n\n")))
	}
}

// TestStreamEndsInsideEvent guards against a stream that ends inside an event and looks complete to
// its caller.
func TestStreamEndsInsideEvent(t *testing.T) {
	forEachPath(t, func(t *testing.T, w *cluster) {
		for n, c := range cuts {
			for _, unframed := range []bool{true, false} {
				faults := platformtest.EndpointFaults{Cut: &c.cut, Unframed: unframed}
				id := fmt.Sprintf("cut-%d%t", n, unframed)
				t.Run(fmt.Sprintf("%s, unframed %t", c.name, unframed), func(t *testing.T) {
					w.setEngineFaults(faults, "e1", "e2")
					assertBrokenOff(t, id+"o", w.send(0, request{id: id + "o", path: "/once/", tokens: 100}))
					is := is.New(t)
					is.Equal(w.runs(id+"o"), 1)
					assertBrokenOff(t, id+"s", w.send(0, request{id: id + "s", path: "/stream/", tokens: 100}))
					is.True(w.runs(id+"s") > 0)
				})
			}
		}
	})
}

// TestAnswerEndsInsideHead guards against an answer that looks complete to its caller although its connection
// ended inside its head, or that is not replaced by that of another endpoint where it may be.
func TestAnswerEndsInsideHead(t *testing.T) {
	forEachPath(t, func(t *testing.T, w *cluster) {
		n := 0
		for _, end := range []platformtest.CutEnd{platformtest.CutClosed, platformtest.CutReset} {
			for _, bytes := range []int{0, 1, 12, 15, 17, 25, 40, 60, -30, -20, -3, -2, -1} {
				n++
				w.assertCutHead(t, fmt.Sprintf("head%d", n), &platformtest.Cut{
					Bytes: bytes,
					End:   end,
				})
			}
		}
	})
}

// assertCutHead checks the answers to requests of which endpoints send only a part of the head: of all
// endpoints, and of one of two.
func (w *cluster) assertCutHead(t *testing.T, tag string, cut *platformtest.Cut) {
	t.Helper()
	is := is.New(t)
	for _, all := range []bool{true, false} {
		for _, e := range w.endpoints {
			e.SetFaults(platformtest.EndpointFaults{})
		}
		w.await("served before", func() bool { return w.send(0, request{id: tag + "before", path: "/safe/"}).status == http.StatusOK })
		w.endpoints["p1"].SetFaults(platformtest.EndpointFaults{CutHead: cut})
		w.endpoints["e1"].SetFaults(platformtest.EndpointFaults{CutHead: cut})
		if all {
			w.endpoints["p2"].SetFaults(platformtest.EndpointFaults{CutHead: cut})
			w.endpoints["e2"].SetFaults(platformtest.EndpointFaults{CutHead: cut})
		}
		for _, p := range paths {
			id := fmt.Sprintf("%s%t%s", tag, all, p[1:3])
			g := w.send(0, request{id: id, path: p, tokens: 100})
			whole := platformtest.PlainAnswer(id, nil)
			if p == "/stream/" || p == "/once/" {
				whole = events(id, 10)
			}
			if g.status == http.StatusOK && (g.err != nil || g.body != whole) {
				t.Errorf("%s, %+v: status 200 with %q, %v", id, *cut, g.body, g.err)
			}
			if all && g.status == http.StatusOK {
				t.Errorf("%s, %+v: status 200 from endpoints that send no whole head", id, *cut)
			}
			if all {
				is.True(w.runs(id) > 0)
			}
			if p == "/unsafe/" || p == "/once/" {
				is.True(w.runs(id) <= 1)
			}
			if !all && (p == "/safe/" || p == "/stream/") {
				is.Equal(g.status, http.StatusOK)
			}
		}
	}
}

// TestStreamResumedAfterEndInsideEvent guards against a resumable stream that is not resumed after
// its endpoint ended it inside an event.
func TestStreamResumedAfterEndInsideEvent(t *testing.T) {
	forEachPath(t, func(t *testing.T, w *cluster) {
		for n, c := range cuts {
			t.Run(c.name, func(t *testing.T) {
				is := is.New(t)
				used := w.usedEngine(t, fmt.Sprintf("probe-%d", n))
				w.setEngineFaults(platformtest.EndpointFaults{Cut: &c.cut, Unframed: c.cut.End != platformtest.CutFramed}, used)
				id := fmt.Sprintf("cut-%d", n)
				g := w.send(0, request{id: id, path: "/stream/", tokens: 100})
				w.setEngineFaults(platformtest.EndpointFaults{}, "e1", "e2")
				assertWhole(t, g)
				is.Equal(g.body, events(id, 10))
			})
		}
	})
}

// TestStreamWithCRLF guards against a stream with CR LF that is forwarded only at its end.
func TestStreamWithCRLF(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 1)
	used := w.usedEngine(t, "probe")
	cut := platformtest.Cut{AfterEvents: 3, Bytes: -2, End: platformtest.CutReset}
	w.setEngineFaults(platformtest.EndpointFaults{CRLF: true}, "e1", "e2")
	w.setEngineFaults(platformtest.EndpointFaults{CRLF: true, Cut: &cut}, used)
	g := w.send(0, request{id: "crlf", path: "/stream/", tokens: 100})
	assertWhole(t, g)
	is.Equal(g.body, strings.ReplaceAll(events("crlf", 10), "\n", "\r\n"))
	after := 0
	for _, e := range w.endpoints {
		for _, r := range e.Runs() {
			if r.ID == "crlf" {
				after = max(after, r.After)
			}
		}
	}
	is.Equal(after, 3)
}

// TestStreamWithoutIDsNotResumed guards against events that a caller receives twice because the stream
// has no ID to resume it after.
func TestStreamWithoutIDsNotResumed(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 1)
	used := w.usedEngine(t, "probe")
	cut := platformtest.Cut{AfterEvents: 3, Bytes: 4}
	w.setEngineFaults(platformtest.EndpointFaults{OmitIDs: true}, "e1", "e2")
	w.setEngineFaults(platformtest.EndpointFaults{OmitIDs: true, Cut: &cut}, used)
	g := w.send(0, request{id: "interrupted", path: "/stream/", tokens: 100})
	is.True(g.err != nil)
	is.Equal(w.runs("interrupted"), 1)
	is.Equal(strings.Count(g.body, "piece 1 of"), 1)
	w.setEngineFaults(platformtest.EndpointFaults{OmitIDs: true}, "e1", "e2")
	time.AfterFunc(50*time.Millisecond, func() {
		w.setEngineFaults(platformtest.EndpointFaults{OmitIDs: true, Silent: true}, "e1", "e2")
	})
	g = w.send(0, request{id: "silent", path: "/stream/", tokens: 100})
	is.True(g.err != nil)
	is.Equal(w.runs("silent"), 1)
	is.Equal(strings.Count(g.body, "piece 1 of"), 1)
}

// TestIncompleteStreamToHTTP10 guards against an incomplete stream that looks complete to a caller of
// HTTP/1.0, to whom the end of the connection is the end of the stream.
func TestIncompleteStreamToHTTP10(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 1)
	data, err := w.sendHTTP10("whole10", "/once/")
	is.NoErr(err)
	is.True(strings.HasSuffix(data, "\r\n\r\n"+events("whole10", 10)))
	for n, c := range cuts {
		w.setEngineFaults(platformtest.EndpointFaults{Cut: &c.cut, Unframed: true}, "e1", "e2")
		data, err := w.sendHTTP10(fmt.Sprintf("cut10-%d", n), "/once/")
		if strings.HasPrefix(data, "HTTP/1.0 200") && err == nil {
			t.Errorf("%s: %q looks complete", c.name, data)
		}
	}
}

// sendHTTP10 sends a request of HTTP/1.0 to instance 0 and returns what it answers until the end of the
// connection.
func (w *cluster) sendHTTP10(id, path string) (string, error) {
	w.t.Helper()
	c, err := net.Dial("tcp", w.gateways[0].Listen)
	if err != nil {
		w.t.Fatal(err)
	}
	defer c.Close()
	h := make(http.Header)
	platformtest.Caller{
		ID:     id,
		Key:    "k1",
		Wait:   4 * time.Second,
		Prompt: 100,
		Output: 100,
	}.Set(h)
	fmt.Fprintf(c, "POST %s HTTP/1.0\r\nHost: api.example\r\nContent-Length: 0\r\n", path)
	h.Write(c)
	io.WriteString(c, "\r\n")
	data, err := io.ReadAll(c)
	return string(data), err
}

// TestUnframedAnswerOfCrashedEndpoint guards against an unframed answer that looks complete although its
// endpoint crashed between two events, or in the middle of an answer without events.
func TestUnframedAnswerOfCrashedEndpoint(t *testing.T) {
	plain := crashOptions{
		service: "plain",
	}
	for _, row := range []struct {
		path    string
		options crashOptions
		// retried states that other endpoints may run the request as well.
		retried bool
	}{
		{"/stream/", engineOptions(), true},
		{"/once/", engineOptions(), false},
		{"/safe/", plain, true},
		{"/unsafe/", plain, false},
	} {
		t.Run(row.path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			// The endpoint must still be down when it is checked.
			row.options.downtime = 3 * time.Second
			w := newCrashCluster(t, row.options)
			for _, x := range w.crashing {
				x.endpoint.SetFaults(platformtest.EndpointFaults{
					CrashPrefix:      crashBody,
					CrashAfterEvents: 3,
					Unframed:         true,
				})
			}
			assertWhole(t, w.send(0, request{id: "before", path: row.path, tokens: 100}))
			g := w.send(0, request{id: "crash", path: row.path, body: crashBody, tokens: 100})
			is.True(w.crashes() > 0)
			want := platformtest.PlainAnswer("crash", []byte(crashBody))
			if row.options.model != nil {
				want = events("crash", 10)
			}
			if g.status == http.StatusOK && g.err == nil {
				is.Equal(g.body, want)
			}
			if !row.retried {
				is.Equal(w.attempts(), 1)
			}
		})
	}
}

// TestUnframedAnswerOfLeavingEndpoint guards against a complete answer that counts as interrupted, because
// its endpoint was leaving and ended right after it.
func TestUnframedAnswerOfLeavingEndpoint(t *testing.T) {
	is := is.New(t)
	o := engineOptions()
	o.events, o.downtime = 30, 3*time.Second
	w := newCrashCluster(t, o)
	for _, x := range w.crashing {
		x.endpoint.SetFaults(platformtest.EndpointFaults{
			CrashPrefix:      crashBody,
			CrashAfterEvents: o.events,
			Unframed:         true,
		})
	}
	time.AfterFunc(50*time.Millisecond, func() {
		for _, x := range w.crashing {
			w.store.PutEndpoint(platformtest.EndpointEntry{
				Instance: x.endpoint.Name(),
				Service:  x.service,
				Address:  x.address,
				Domain:   "d1",
				Slots:    8,
				Leaving:  true,
			})
		}
	})
	g := w.send(0, request{id: "last", path: "/once/", body: crashBody, tokens: 100})
	assertWhole(t, g)
	is.Equal(g.body, events("last", o.events))
	is.Equal(w.crashes(), 1)
}

// usedEngine returns the engine that runs a stream now.
func (w *cluster) usedEngine(t *testing.T, id string) string {
	t.Helper()
	// Earlier failures eject an engine for a while.
	w.await("served", func() bool { return w.send(0, request{id: id, path: "/stream/", tokens: 100}).status == http.StatusOK })
	for name, e := range w.endpoints {
		for _, r := range e.Runs() {
			if r.ID == id {
				return name
			}
		}
	}
	t.Fatal("no engine ran the stream")
	return ""
}

// TestUnframedAnswers guards against an answer that ends with its connection and does not reach its
// caller whole, or that was reset and looks complete.
func TestUnframedAnswers(t *testing.T) {
	forEachPath(t, func(t *testing.T, w *cluster) {
		is := is.New(t)
		for _, e := range w.endpoints {
			e.SetFaults(platformtest.EndpointFaults{Unframed: true})
		}
		for _, p := range paths {
			id := "whole" + p[1:3]
			g := w.send(0, request{id: id, path: p, tokens: 100, body: "hello"})
			assertWhole(t, g)
			switch p {
			case "/stream/", "/once/":
				is.Equal(g.body, events(id, 10))
			default:
				is.Equal(g.body, platformtest.PlainAnswer(id, []byte("hello")))
			}
		}
		for _, e := range w.endpoints {
			e.SetFaults(platformtest.EndpointFaults{Unframed: true, Cut: &platformtest.Cut{AfterEvents: 3, End: platformtest.CutReset}})
		}
		for _, p := range paths {
			g := w.send(0, request{id: "reset" + p[1:3], path: p, tokens: 100})
			is.True(g.err != nil || g.status != http.StatusOK)
			is.True(w.runs("reset"+p[1:3]) > 0)
		}
	})
}
