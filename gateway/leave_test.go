// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/platform/platformtest"
)

// cancelWithin is the maximum time until all work for a disconnected caller has ended.
const cancelWithin = 500 * time.Millisecond

// sendAndDisconnect sends a request and disconnects after a time. It reports whether it disconnected
// before the answer was complete.
func (w *cluster) sendAndDisconnect(i int, c request, after time.Duration) bool {
	ctx, cancel := context.WithTimeout(w.t.Context(), after)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.gateways[i].Listen+c.path, nil)
	if err != nil {
		return false
	}
	req.Host = "api.example"
	platformtest.Caller{
		ID:     c.id,
		Key:    "k1",
		Wait:   time.Duration(c.wait) * time.Millisecond,
		Prompt: c.tokens,
		Output: 100,
	}.Set(req.Header)
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return ctx.Err() != nil
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err != nil && ctx.Err() != nil
}

// TestCallerCancels guards against endpoints that still run a request, or hold memory for it, after
// its caller has disconnected. Each case disconnects in another phase of the request.
func TestCallerCancels(t *testing.T) {
	silent := platformtest.EndpointFaults{
		Silent: true,
	}
	slow := platformtest.EndpointFaults{
		OrderDelay: 200 * time.Millisecond,
	}
	for _, row := range []struct {
		name    string
		prepare func(w *cluster)
		call    request
		after   time.Duration
	}{
		{
			"while the instance waits for a configuration",
			func(w *cluster) {
				w.store.SetFaults(platformtest.StoreFaults{
					Refuse: true,
				})
				w.start(2)
			},
			request{path: "/safe/", wait: 3000},
			100 * time.Millisecond,
		},
		{
			"in the queue for a placement",
			func(w *cluster) { w.fillEngines() },
			request{path: "/stream/", tokens: 300_000, wait: 3000},
			100 * time.Millisecond,
		},
		{
			"while memory is being reserved",
			func(w *cluster) { w.setFaults(slow, "e1", "e2") },
			request{path: "/stream/", tokens: 300_000, wait: 4000},
			100 * time.Millisecond,
		},
		{
			"before the first event",
			func(w *cluster) { w.setFaults(silent, "e1", "e2") },
			request{path: "/stream/", tokens: 500, wait: 4000},
			200 * time.Millisecond,
		},
		{
			"while another endpoint is chosen",
			func(w *cluster) { w.setFaults(silent, "e1", "e2") },
			request{path: "/stream/", tokens: 500, wait: 4000},
			1450 * time.Millisecond,
		},
		{
			"after the stream has moved to another endpoint",
			func(w *cluster) {
				// The first endpoint cuts the stream after some 130 ms, the other one as long after
				// that. A stream that both have cut ends at once.
				w.setEvents(400)
				w.setFaults(platformtest.EndpointFaults{CutAfterEvents: 12}, "e1", "e2")
			},
			request{path: "/stream/", tokens: 500, wait: 4000},
			200 * time.Millisecond,
		},
		{
			"while its stream runs",
			func(w *cluster) { w.setEvents(400) },
			request{path: "/stream/", tokens: 500, wait: 4000},
			200 * time.Millisecond,
		},
		{
			"while a plain endpoint works",
			func(w *cluster) { w.setFaults(silent, "p1", "p2") },
			request{path: "/unsafe/", wait: 4000},
			100 * time.Millisecond,
		},
	} {
		// One instance owns the pool, and the other one sends it a placement request.
		for at := range 2 {
			t.Run(row.name+" at "+strconv.Itoa(at), func(t *testing.T) {
				t.Parallel()
				w := newCluster(t, 2)
				row.prepare(w)
				w.assertCanceled(at, row.call, row.after)
			})
		}
	}
}

// assertCanceled sends a request to the instance with index at, or to the last one if there are more
// than two, and disconnects after a time. It checks that no work for the request is left or starts later.
func (w *cluster) assertCanceled(at int, c request, after time.Duration) {
	w.t.Helper()
	if len(w.gateways) > 2 {
		at = len(w.gateways) - 1
	}
	c.id = "left"
	if !w.sendAndDisconnect(at, c, after) {
		w.t.Fatal("answered before the caller disconnected")
	}
	time.Sleep(cancelWithin)
	w.assertNotRunning(c.id)
	w.assertNothingHeld()
	w.assertNoStalePlacements()
	runs := w.runs(c.id)
	w.setFaults(platformtest.EndpointFaults{}, "e1", "e2", "p1", "p2")
	time.Sleep(cancelWithin)
	is.New(w.t).Equal(w.runs(c.id), runs) // nothing starts later
}

// setFaults sets the faults of the named endpoints.
func (w *cluster) setFaults(f platformtest.EndpointFaults, names ...string) {
	for _, name := range names {
		w.endpoints[name].SetFaults(f)
	}
}

// setEvents sets the number of events of all endpoints' streams.
func (w *cluster) setEvents(n int) {
	for _, e := range w.endpoints {
		e.Events = n
	}
}

// fillEngines occupies most of the memory of both engines for up to three seconds.
func (w *cluster) fillEngines() {
	w.t.Helper()
	w.setEvents(300)
	for i := range 2 {
		go w.sendAndDisconnect(i, request{id: "fill" + strconv.Itoa(i), path: "/once/", tokens: 150_000, wait: 4000}, 3*time.Second)
	}
	w.await("memory is occupied", func() bool {
		return w.endpoints["e1"].Running()+w.endpoints["e2"].Running() == 2
	})
}

// assertNotRunning checks that no endpoint is running the request with an id.
func (w *cluster) assertNotRunning(id string) {
	w.t.Helper()
	for name, e := range w.endpoints {
		for _, r := range e.Runs() {
			if r.ID == id && r.Ended.IsZero() {
				w.t.Errorf("endpoint %s still runs %s", name, id)
			}
		}
	}
}

// assertNoStalePlacements checks that no instance has queued requests, or counts more placements
// than requests that are running at the engines.
func (w *cluster) assertNoStalePlacements() {
	w.t.Helper()
	running := w.endpoints["e1"].Running() + w.endpoints["e2"].Running()
	for i, g := range w.gateways {
		f := w.stats(g).Pools["engines"]
		if f.Queued > 0 || f.Placed > running {
			w.t.Errorf("instance %d counts %d queued and %d placed requests, %d run at the engines", i, f.Queued, f.Placed, running)
		}
	}
}

// assertNothingHeld checks that no engine has memory reserved.
func (w *cluster) assertNothingHeld() {
	w.t.Helper()
	for name, e := range w.endpoints {
		if held := e.ReservedTokens(); held > 0 {
			w.t.Errorf("endpoint %s holds %d tokens", name, held)
		}
	}
}
