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

// drainWithin is how soon an endpoint that says that it leaves must get nothing new.
const drainWithin = 2 * time.Second

// assertNothingSince checks that endpoints got no request after a moment.
func assertNothingSince(t *testing.T, w *world, since time.Time, names ...string) {
	t.Helper()
	for _, name := range names {
		arrivals := w.endpoints[name].Arrivals()
		late := len(arrivals) - arrivedBefore(arrivals, since)
		t.Logf("%s: %d requests too late", name, late)
		is.New(t).Equal(late, 0)
	}
}

// TestLeavingHeardInAnswers guards against requests to endpoints whose answers say that they
// leave while the store does not.
func TestLeavingHeardInAnswers(t *testing.T) {
	for _, c := range []struct {
		name    string
		path    string
		leaving []string
		// none states that no other endpoint is left.
		none bool
	}{
		{"one engine of two", "/stream/a", []string{"e1"}, false},
		{"one engine of two, streams that run once", "/once/a", []string{"e2"}, false},
		{"all engines", "/stream/a", []string{"e1", "e2"}, true},
		{"one plain endpoint of two", "/safe/a", []string{"p1"}, false},
		{"requests that run once", "/unsafe/a", []string{"p2"}, false},
		{"all plain endpoints", "/safe/a", []string{"p1", "p2"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 3)
			for _, name := range c.leaving {
				w.endpoints[name].SetFaults(platformtest.EndpointFaults{
					Leaving: true,
				})
			}
			began := time.Now()
			rejected := w.load("leaving", call{path: c.path, tokens: 500}, 4*time.Second)
			assertNothingSince(t, w, began.Add(drainWithin), c.leaving...)
			if c.none {
				is.New(t).True(len(rejected) > 0)
			} else {
				is.New(t).Equal(len(rejected), 0)
			}
			assertRefusedAtOnce(t, rejected)
		})
	}
}

// TestLeavingByARejection has an endpoint say that it leaves in answers that are not passed on.
func TestLeavingByARejection(t *testing.T) {
	w := newWorld(t, 3)
	w.endpoints["e1"].SetFaults(platformtest.EndpointFaults{
		Leaving: true,
		Reject:  true,
	})
	began := time.Now()
	rejected := w.load("leaving", call{path: "/stream/a", tokens: 500}, 4*time.Second)
	assertNothingSince(t, w, began.Add(drainWithin), "e1")
	is.New(t).Equal(len(rejected), 0)
}

// The bound on requests to an endpoint that asks an instance for a back-off.
const (
	backoffFor   = 3 * time.Second
	backoffGrace = 500 * time.Millisecond
	backoffMost  = 2
)

// ofKind returns the arrivals whose body begins with a word.
func ofKind(arrivals []platformtest.Arrival, word string) []platformtest.Arrival {
	var out []platformtest.Arrival
	for _, a := range arrivals {
		if strings.HasPrefix(a.Body, word) {
			out = append(out, a)
		}
	}
	return out
}

// assertBacksOff checks that no more than two requests of one instance, whose bodies begin with a
// word, came to an endpoint in the back-off that began with the first of them, and that some did
// again soon after it where it is needed.
func assertBacksOff(t *testing.T, w *world, word string, needed bool, names ...string) {
	t.Helper()
	for _, name := range names {
		arrivals := ofKind(w.endpoints[name].Arrivals(), word)
		if len(arrivals) == 0 {
			t.Fatalf("%s got no request", name)
		}
		end := arrivals[0].At.Add(backoffFor)
		in := arrivedBefore(arrivals, end) - arrivedBefore(arrivals, arrivals[0].At.Add(backoffGrace))
		after := arrivedBefore(arrivals, end.Add(time.Second)) - arrivedBefore(arrivals, end)
		t.Logf("%s: %d requests in its back-off, %d in the second after it", name, in, after)
		is.New(t).True(in <= backoffMost)
		is.New(t).True(after > 0 || !needed)
	}
}

// TestBackoffKept guards against requests to endpoints that have asked the instance for a back-off.
func TestBackoffKept(t *testing.T) {
	engines, plain := []string{"e1", "e2"}, []string{"p1", "p2"}
	for _, c := range []struct {
		name      string
		path      string
		endpoints []string
		// all states that all endpoints ask for a back-off, and not only the one that is used first.
		all bool
		// needed states that they are needed again after it.
		needed bool
	}{
		{"one engine of two", "/stream/a", engines, false, true},
		{"all engines", "/stream/a", engines, true, true},
		{"one plain endpoint of two", "/safe/a", plain, false, false},
		{"all plain endpoints", "/safe/a", plain, true, true},
		{"requests that run once", "/unsafe/a", plain, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 1)
			w.ask(0, call{id: "first", path: c.path, tokens: 500})
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
			rejected := w.load("backoff", call{path: c.path, body: "decline", tokens: 500}, 4500*time.Millisecond)
			assertBacksOff(t, w, "decline", c.needed, chosen...)
			is.New(t).Equal(len(rejected) > 0, c.all)
			assertRefusedAtOnce(t, rejected)
		})
	}
}

// TestBackoffConcernsOneInstance looks that others go on using an endpoint that has asked one
// instance for a back-off.
func TestBackoffConcernsOneInstance(t *testing.T) {
	w := newWorld(t, 3)
	for _, name := range []string{"e1", "e2"} {
		w.endpoints[name].SetFaults(platformtest.EndpointFaults{
			RejectPrefix: "decline",
			RetryAfter:   "3",
		})
	}
	for i := range 3 {
		w.ask(i, call{id: "warm" + string(rune('0'+i)), path: "/stream/a", tokens: 500})
	}
	w.ask(0, call{id: "asked", path: "/stream/a", body: "decline", tokens: 500})
	end := time.Now().Add(backoffFor - backoffGrace)
	for n := 0; time.Now().Before(end); n++ {
		id := "r" + string(rune('a'+n%26)) + time.Now().Format("050000")
		if n%3 == 0 {
			began := time.Now()
			g := w.ask(0, call{id: id, path: "/stream/a", body: "decline", tokens: 500})
			assertRefusedAtOnce(t, []rejection{{got: g, took: time.Since(began)}})
			continue
		}
		assertWhole(t, w.ask(n%3, call{id: id, path: "/stream/a", tokens: 500}))
	}
	declined := len(ofKind(w.endpoints["e1"].Arrivals(), "decline")) + len(ofKind(w.endpoints["e2"].Arrivals(), "decline"))
	t.Logf("%d requests of the instance that was asked", declined)
	is.New(t).True(declined <= 2+2*backoffMost)
}
