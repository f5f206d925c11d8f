// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/platform/platformtest"
)

// endlessPause is the pause between writes of parts without an end, so that a test of code without
// limits ends by the callers' timeouts before it needs too much memory.
const endlessPause = time.Millisecond

// endlessHeads are the parts that precede the body of an answer.
var endlessHeads = []platformtest.EndlessPart{
	platformtest.EndlessStatus,
	platformtest.EndlessHeaderLine,
	platformtest.EndlessHeader,
	platformtest.EndlessOther,
}

// setEndless makes a part of the next answers of the named endpoints have no end; all of their answers
// if the number is zero.
func (w *cluster) setEndless(part platformtest.EndlessPart, afterEvents int, answers int64, names ...string) {
	w.setEngineFaults(platformtest.EndpointFaults{
		Endless: &platformtest.Endless{
			Part:        part,
			Answers:     answers,
			AfterEvents: afterEvents,
			Pause:       endlessPause,
		},
	}, names...)
}

// maxDelay is the maximum time until the answer to a request with a timeout of 4 s.
const maxDelay = time.Second

// sendWithin sends a request to instance 0 and checks that the answer takes at most maxDelay.
func (w *cluster) sendWithin(t *testing.T, c request) response {
	t.Helper()
	began := time.Now()
	g := w.send(0, c)
	if took := time.Since(began); took > maxDelay {
		t.Errorf("%s took %s", c.id, took)
	}
	return g
}

// TestHeadWithoutEnd guards against an answer whose head has no end: it takes up memory until the
// request's deadline, although another endpoint could serve the request.
func TestHeadWithoutEnd(t *testing.T) {
	for _, part := range endlessHeads {
		t.Run(part.String(), func(t *testing.T) {
			forEachPath(t, func(t *testing.T, w *cluster) {
				is := is.New(t)
				w.setEndless(part, 0, 1, "p1", "p2")
				assertWhole(t, w.sendWithin(t, request{id: "safe", path: "/safe/"}))
				is.Equal(w.runs("safe"), 2)
				w.setEndless(part, 0, 1, "e1", "e2")
				g := w.sendWithin(t, request{id: "stream", path: "/stream/", tokens: 100})
				assertWhole(t, g)
				is.Equal(g.body, events("stream", 10))
				is.Equal(w.runs("stream"), 2)
				w.setEndless(part, 0, 0, "p1", "p2", "e1", "e2")
				for _, path := range []string{"/unsafe/", "/once/"} {
					g := w.sendWithin(t, request{id: path, path: path, tokens: 100})
					is.NoErr(g.err)
					is.Equal(g.status, http.StatusBadGateway)
					is.Equal(w.runs(path), 1)
				}
			})
		})
	}
}

// TestEventWithoutEnd guards against a stream that takes up memory, or is not resumed elsewhere, as an
// event or the comments before it have no end.
func TestEventWithoutEnd(t *testing.T) {
	for _, row := range []struct {
		part  platformtest.EndlessPart
		after int
	}{
		{platformtest.EndlessEvent, 0},
		{platformtest.EndlessEvent, 3},
		{platformtest.EndlessComments, 0},
		{platformtest.EndlessComments, 3},
	} {
		t.Run(fmt.Sprintf("%s after %d events", row.part, row.after), func(t *testing.T) {
			forEachPath(t, func(t *testing.T, w *cluster) {
				is := is.New(t)
				w.setEndless(row.part, row.after, 1, "e1", "e2")
				g := w.sendWithin(t, request{id: "resumed", path: "/stream/", tokens: 100})
				assertWhole(t, g)
				is.Equal(withoutComments(g.body), events("resumed", 10))
				is.Equal(w.runs("resumed"), 2)
				w.setEndless(row.part, row.after, 0, "e1", "e2")
				g = w.sendWithin(t, request{id: "once", path: "/once/", tokens: 100})
				is.True(g.err != nil || g.status != http.StatusOK)
				is.Equal(w.runs("once"), 1)
			})
		})
	}
}

// TestBodyWithoutEnd guards against a body without an end that a caller receives until the deadline
// although another endpoint could serve the request.
func TestBodyWithoutEnd(t *testing.T) {
	for _, part := range []platformtest.EndlessPart{platformtest.EndlessBody, platformtest.EndlessChunks} {
		t.Run(part.String(), func(t *testing.T) {
			forEachPath(t, func(t *testing.T, w *cluster) {
				is := is.New(t)
				w.setEndless(part, 0, 1, "p1", "p2")
				assertWhole(t, w.sendWithin(t, request{id: "safe", path: "/safe/"}))
				is.Equal(w.runs("safe"), 2)
				w.setEngineFaults(platformtest.EndpointFaults{
					Endless: &platformtest.Endless{
						Part: part,
					},
				}, "p1", "p2")
				began := time.Now()
				is.True(w.discardAnswer(request{id: "unsafe", path: "/unsafe/"}) != nil) // the caller sees that the answer is incomplete
				is.True(time.Since(began) <= maxDelay)
				is.Equal(w.runs("unsafe"), 1)
			})
		})
	}
}

// TestRejectionWithoutEnd guards against a request that waits for the body of a rejection, although
// another endpoint could serve it.
func TestRejectionWithoutEnd(t *testing.T) {
	for _, pause := range []time.Duration{endlessPause, time.Minute} {
		t.Run(fmt.Sprint("a part every ", pause), func(t *testing.T) {
			forEachPath(t, func(t *testing.T, w *cluster) {
				is := is.New(t)
				for path, names := range map[string][]string{
					"/safe/":   {"p1", "p2"},
					"/unsafe/": {"p1", "p2"},
					"/stream/": {"e1", "e2"},
					"/once/":   {"e1", "e2"},
				} {
					w.setEngineFaults(platformtest.EndpointFaults{
						Endless: &platformtest.Endless{
							Part:    platformtest.EndlessRejection,
							Answers: 1,
							Pause:   pause,
						},
					}, names...)
					assertWhole(t, w.sendWithin(t, request{id: path, path: path, tokens: 100}))
					is.Equal(w.runs(path), 2) // the stand-in records the rejected one as well
				}
			})
		})
	}
}

// TestLargeAnswer guards against a large answer that has an end and is taken for one without, or that
// runs at two endpoints again and again.
func TestLargeAnswer(t *testing.T) {
	const extra = 3 << 20
	for _, row := range []struct {
		name   string
		faults platformtest.EndpointFaults
		// first is the number of endpoints that run the first request that may be repeated.
		first int
	}{
		{"length", platformtest.EndpointFaults{ExtraBytes: extra, StateLength: true}, 1},
		{"chunks", platformtest.EndpointFaults{ExtraBytes: extra}, 2},
		{"end of the connection", platformtest.EndpointFaults{ExtraBytes: extra, Unframed: true}, 2},
	} {
		t.Run(row.name, func(t *testing.T) {
			forEachPath(t, func(t *testing.T, w *cluster) {
				is := is.New(t)
				w.setEngineFaults(row.faults, "p1", "p2")
				for i, c := range []struct {
					path string
					runs int
				}{
					{"/safe/", row.first},
					{"/safe/", 1},
					{"/unsafe/", 1},
					{"/safe/", 1},
				} {
					id := fmt.Sprint("large", i)
					g := w.send(0, request{id: id, path: c.path})
					assertWhole(t, g)
					is.Equal(g.body, platformtest.PlainAnswer(id, nil)+strings.Repeat(".", extra))
					is.Equal(w.runs(id), c.runs)
				}
			})
		})
	}
}

// discardAnswer sends a request to instance 0 and reads the answer without keeping it. It returns an
// error unless the answer is complete.
func (w *cluster) discardAnswer(c request) error {
	res, err := http.DefaultTransport.RoundTrip(w.newRequest(0, c))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err
}

// withoutComments returns a stream without its comments.
func withoutComments(body string) string {
	return strings.ReplaceAll(body, ": comment\n", "")
}

// TestMemoryOfAnswersWithoutEnd guards against memory that grows with the bytes of answers whose head
// or event has no end, while all endpoints send such answers.
func TestMemoryOfAnswersWithoutEnd(t *testing.T) {
	const (
		requests = 24
		wait     = time.Second
		// maxAllocated is the memory in bytes that an instance may use.
		maxAllocated = 256 << 20
	)
	w := newCluster(t, 1)
	for _, row := range []struct {
		part platformtest.EndlessPart
		path string
	}{
		{platformtest.EndlessStatus, "/safe/"},
		{platformtest.EndlessHeaderLine, "/stream/"},
		{platformtest.EndlessHeader, "/safe/"},
		{platformtest.EndlessOther, "/stream/"},
		{platformtest.EndlessEvent, "/stream/"},
		{platformtest.EndlessBody, "/safe/"},
	} {
		t.Run(row.part.String(), func(t *testing.T) {
			w.setEndless(row.part, 0, 0, "p1", "p2", "e1", "e2")
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var all sync.WaitGroup
			for i := range requests {
				all.Go(func() {
					// The request may fail.
					_ = w.discardAnswer(request{id: fmt.Sprint(row.part, "-", i), path: row.path, tokens: 100, wait: int(wait.Milliseconds())})
				})
			}
			all.Wait()
			runtime.ReadMemStats(&after)
			if n := after.TotalAlloc - before.TotalAlloc; n > maxAllocated {
				t.Errorf("%d requests allocated %d MB in %d runs", requests, n>>20, w.totalRuns("p1", "p2", "e1", "e2"))
			}
		})
	}
}
