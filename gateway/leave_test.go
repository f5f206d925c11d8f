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

// leftWithin is how soon nothing may run for a caller that has left.
const leftWithin = 500 * time.Millisecond

// leave sends a request whose caller leaves after a time. It returns when it has left,
// and whether it did before it had a whole answer.
func (w *world) leave(i int, c call, after time.Duration) bool {
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

// TestCallerLeaves is a table of the steps at which a caller leaves. Half a second
// later nothing runs or is held for it, and nothing begins.
func TestCallerLeaves(t *testing.T) {
	silent := platformtest.EndpointFaults{
		Silent: true,
	}
	slow := platformtest.EndpointFaults{
		OrderDelay: 200 * time.Millisecond,
	}
	for _, row := range []struct {
		name    string
		prepare func(w *world)
		call    call
		after   time.Duration
	}{
		{
			"while it is awaited what is in force",
			func(w *world) {
				w.store.SetFaults(platformtest.StoreFaults{
					Refuse: true,
				})
				w.start(2)
			},
			call{path: "/safe/", wait: 3000},
			100 * time.Millisecond,
		},
		{
			"in the queue for a place",
			func(w *world) { w.fill() },
			call{path: "/stream/", tokens: 300_000, wait: 3000},
			100 * time.Millisecond,
		},
		{
			"while memory is set aside",
			func(w *world) { w.fault(slow, "e1", "e2") },
			call{path: "/stream/", tokens: 300_000, wait: 4000},
			100 * time.Millisecond,
		},
		{
			"before the first event",
			func(w *world) { w.fault(silent, "e1", "e2") },
			call{path: "/stream/", tokens: 500, wait: 4000},
			200 * time.Millisecond,
		},
		{
			"while another place is looked for",
			func(w *world) { w.fault(silent, "e1", "e2") },
			call{path: "/stream/", tokens: 500, wait: 4000},
			1450 * time.Millisecond,
		},
		{
			"at a later endpoint",
			func(w *world) {
				w.events(400)
				w.fault(platformtest.EndpointFaults{CutAfterEvents: 5}, "e1", "e2")
			},
			call{path: "/stream/", tokens: 500, wait: 4000},
			200 * time.Millisecond,
		},
		{
			"while its stream runs",
			func(w *world) { w.events(400) },
			call{path: "/stream/", tokens: 500, wait: 4000},
			200 * time.Millisecond,
		},
		{
			"while a plain endpoint works",
			func(w *world) { w.fault(silent, "p1", "p2") },
			call{path: "/unsafe/", wait: 4000},
			100 * time.Millisecond,
		},
	} {
		// One of the two owns the engines, and the other one asks it.
		for at := range 2 {
			t.Run(row.name+" at "+strconv.Itoa(at), func(t *testing.T) {
				t.Parallel()
				w := newWorld(t, 2)
				row.prepare(w)
				w.assertLeaves(at, row.call, row.after)
			})
		}
	}
}

// assertLeaves lets a caller leave an instance, or the one that started last, and checks
// that nothing is left.
func (w *world) assertLeaves(at int, c call, after time.Duration) {
	w.t.Helper()
	if len(w.gateways) > 2 {
		at = len(w.gateways) - 1
	}
	c.id = "left"
	if !w.leave(at, c, after) {
		w.t.Fatal("answered before the caller left")
	}
	time.Sleep(leftWithin)
	w.assertNothingFor(c.id)
	w.assertNothingHeld()
	w.assertPlaces()
	runs := w.runs(c.id)
	w.fault(platformtest.EndpointFaults{}, "e1", "e2", "p1", "p2")
	time.Sleep(leftWithin)
	is.New(w.t).Equal(w.runs(c.id), runs) // nothing begins afterwards
}

// fault sets what goes wrong with endpoints.
func (w *world) fault(f platformtest.EndpointFaults, names ...string) {
	for _, name := range names {
		w.endpoints[name].SetFaults(f)
	}
}

// events makes the streams of all engines that long.
func (w *world) events(n int) {
	for _, e := range w.endpoints {
		e.Events = n
	}
}

// fill takes most of the memory of all engines for some seconds.
func (w *world) fill() {
	w.t.Helper()
	w.events(300)
	for i := range 2 {
		go w.leave(i, call{id: "fill" + strconv.Itoa(i), path: "/once/", tokens: 150_000, wait: 4000}, 3*time.Second)
	}
	w.await("memory is taken", func() bool {
		return w.endpoints["e1"].Running()+w.endpoints["e2"].Running() == 2
	})
}

// assertNothingFor checks that no endpoint runs a request.
func (w *world) assertNothingFor(id string) {
	w.t.Helper()
	for name, e := range w.endpoints {
		for _, r := range e.Runs() {
			if r.ID == id && r.Ended.IsZero() {
				w.t.Errorf("endpoint %s still runs %s", name, id)
			}
		}
	}
}

// assertPlaces checks that no instance counts a request as running, or waiting, that
// does not run.
func (w *world) assertPlaces() {
	w.t.Helper()
	running := w.endpoints["e1"].Running() + w.endpoints["e2"].Running()
	for i, g := range w.gateways {
		f := w.figures(g).Pools["engines"]
		if f.Queued > 0 || f.Placed > running {
			w.t.Errorf("instance %d counts %d waiting and %d placed, %d run", i, f.Queued, f.Placed, running)
		}
	}
}

// assertNothingHeld checks that no engine keeps memory.
func (w *world) assertNothingHeld() {
	w.t.Helper()
	for name, e := range w.endpoints {
		if held := e.ReservedTokens(); held > 0 {
			w.t.Errorf("endpoint %s holds %d tokens", name, held)
		}
	}
}
