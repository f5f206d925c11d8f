// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/platform/platformtest"
)

// departWithin is the time after which an endpoint that announces its departure must receive no more
// requests.
const departWithin = 2 * time.Second

// assertNothingSince checks that endpoints have received no request since a time.
func assertNothingSince(t *testing.T, w *cluster, since time.Time, names ...string) {
	t.Helper()
	for _, name := range names {
		arrivals := w.endpoints[name].Arrivals()
		late := len(arrivals) - arrivedBefore(arrivals, since)
		t.Logf("%s: %d requests after the time limit", name, late)
		is.New(t).Equal(late, 0)
	}
}

// assertAnnounced checks that each endpoint has received a request whose answer announces its departure.
func assertAnnounced(t *testing.T, w *cluster, names ...string) {
	t.Helper()
	for _, name := range names {
		arrivals := w.endpoints[name].Arrivals()
		is.New(t).True(slices.ContainsFunc(arrivals, func(a platformtest.Arrival) bool { return a.Faults.Leaving }))
	}
}

// TestLeavingAnnouncedInAnswers guards against requests to endpoints that announce their departure
// in answers only and not in the store. A leaving endpoint must receive a request early, as nobody
// knows of its departure before. If only one leaves, it is therefore the one that is used.
func TestLeavingAnnouncedInAnswers(t *testing.T) {
	for _, c := range []struct {
		name      string
		path      string
		endpoints []string
		// none is true if all endpoints of the service leave.
		none bool
	}{
		{"one engine of two", "/stream/a", []string{"e1", "e2"}, false},
		{"one engine of two, streams that are not resumable", "/once/a", []string{"e1", "e2"}, false},
		{"all engines", "/stream/a", []string{"e1", "e2"}, true},
		{"one plain endpoint of two", "/safe/a", []string{"p1", "p2"}, false},
		{"one plain endpoint of two, unsafe requests", "/unsafe/a", []string{"p1", "p2"}, false},
		{"all plain endpoints", "/safe/a", []string{"p1", "p2"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newCluster(t, 3)
			leaving := c.endpoints
			if !c.none {
				leaving = []string{w.usedEndpoint(c.path, c.endpoints...)}
			}
			w.setFaults(platformtest.EndpointFaults{Leaving: true}, leaving...)
			began := time.Now()
			rejected := w.load("leaving", request{path: c.path, tokens: 500}, 4*time.Second)
			assertAnnounced(t, w, leaving...)
			assertNothingSince(t, w, began.Add(departWithin), leaving...)
			if c.none {
				is.New(t).True(len(rejected) > 0)
			} else {
				is.New(t).Equal(len(rejected), 0)
			}
			assertRefusedPromptly(t, rejected)
		})
	}
}

// TestLeavingAnnouncedInRejections checks that an announcement also counts if it comes in a
// rejection, which is not forwarded to the caller.
func TestLeavingAnnouncedInRejections(t *testing.T) {
	w := newCluster(t, 3)
	w.endpoints["e1"].SetFaults(platformtest.EndpointFaults{
		Leaving: true,
		Reject:  true,
	})
	began := time.Now()
	rejected := w.load("leaving", request{path: "/stream/a", tokens: 500}, 4*time.Second)
	assertAnnounced(t, w, "e1")
	assertNothingSince(t, w, began.Add(departWithin), "e1")
	is.New(t).Equal(len(rejected), 0)
}

// The bound on requests to an endpoint that has asked for a back-off: after backoffGrace it may
// receive at most maxDuringBackoff requests until backoffFor is over.
const (
	backoffFor       = 3 * time.Second
	backoffGrace     = 500 * time.Millisecond
	maxDuringBackoff = 2
)

// withBodyPrefix returns the arrivals whose body begins with word.
func withBodyPrefix(arrivals []platformtest.Arrival, word string) []platformtest.Arrival {
	var out []platformtest.Arrival
	for _, a := range arrivals {
		if strings.HasPrefix(a.Body, word) {
			out = append(out, a)
		}
	}
	return out
}

// assertBackoffKept checks the bound above for requests whose body begins with word. The first of them
// at an endpoint starts its back-off. If needed is true, the endpoint must receive such requests again
// in the second after its back-off.
func assertBackoffKept(t *testing.T, w *cluster, word string, needed bool, names ...string) {
	t.Helper()
	for _, name := range names {
		arrivals := withBodyPrefix(w.endpoints[name].Arrivals(), word)
		if len(arrivals) == 0 {
			t.Fatalf("%s got no request", name)
		}
		end := arrivals[0].At.Add(backoffFor)
		in := arrivedBefore(arrivals, end) - arrivedBefore(arrivals, arrivals[0].At.Add(backoffGrace))
		after := arrivedBefore(arrivals, end.Add(time.Second)) - arrivedBefore(arrivals, end)
		t.Logf("%s: %d requests during its back-off, %d in the second after it", name, in, after)
		is.New(t).True(in <= maxDuringBackoff)
		is.New(t).True(after > 0 || !needed)
	}
}

// TestBackoffKept guards against requests to an endpoint during a back-off that it asked for, and
// against endpoints that stay unused after it.
func TestBackoffKept(t *testing.T) {
	engines, plain := []string{"e1", "e2"}, []string{"p1", "p2"}
	for _, c := range []struct {
		name      string
		path      string
		endpoints []string
		// all makes all endpoints ask for a back-off, otherwise only those that received the first
		// request do.
		all bool
		// needed is true if the load must use the endpoints again after the back-off.
		needed bool
	}{
		{"one engine of two", "/stream/a", engines, false, true},
		{"all engines", "/stream/a", engines, true, true},
		{"one plain endpoint of two", "/safe/a", plain, false, false},
		{"all plain endpoints", "/safe/a", plain, true, true},
		{"one plain endpoint of two, unsafe requests", "/unsafe/a", plain, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newCluster(t, 1)
			for _, e := range w.endpoints {
				// One engine has enough slots for the load even if streams take twice their time.
				e.Events = 5
			}
			w.send(0, request{id: "first", path: c.path, tokens: 500})
			chosen := c.endpoints
			if !c.all {
				chosen = slices.DeleteFunc(slices.Clone(chosen), func(name string) bool { return len(w.endpoints[name].Arrivals()) == 0 })
			}
			for _, name := range chosen {
				w.endpoints[name].SetFaults(platformtest.EndpointFaults{
					RejectPrefix: "decline",
					RetryAfter:   "3",
				})
			}
			rejected := w.load("backoff", request{path: c.path, body: "decline", tokens: 500}, 4500*time.Millisecond)
			assertBackoffKept(t, w, "decline", c.needed, chosen...)
			is.New(t).Equal(len(rejected) > 0, c.all)
			assertRefusedPromptly(t, rejected)
		})
	}
}

// TestBackoffIsPerInstance checks that the other instances still use endpoints that have asked one
// instance for a back-off.
func TestBackoffIsPerInstance(t *testing.T) {
	w := newCluster(t, 3)
	for _, name := range []string{"e1", "e2"} {
		w.endpoints[name].SetFaults(platformtest.EndpointFaults{
			RejectPrefix: "decline",
			RetryAfter:   "3",
		})
	}
	for i := range 3 {
		w.send(i, request{id: "warm" + string(rune('0'+i)), path: "/stream/a", tokens: 500})
	}
	w.send(0, request{id: "asked", path: "/stream/a", body: "decline", tokens: 500})
	end := time.Now().Add(backoffFor - backoffGrace)
	for n := 0; time.Now().Before(end); n++ {
		id := "r" + string(rune('a'+n%26)) + time.Now().Format("050000")
		if n%3 == 0 {
			began := time.Now()
			g := w.send(0, request{id: id, path: "/stream/a", body: "decline", tokens: 500})
			assertRefusedPromptly(t, []rejection{{response: g, took: time.Since(began)}})
			continue
		}
		assertWhole(t, w.send(n%3, request{id: id, path: "/stream/a", tokens: 500}))
	}
	declined := len(withBodyPrefix(w.endpoints["e1"].Arrivals(), "decline")) + len(withBodyPrefix(w.endpoints["e2"].Arrivals(), "decline"))
	t.Logf("%d declined requests from the instance in back-off", declined)
	is.New(t).True(declined > 0 && declined <= 2+2*maxDuringBackoff)
}
