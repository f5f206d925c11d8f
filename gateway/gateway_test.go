// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/platform/platformtest"
)

func TestServe(t *testing.T) {
	w := newWorld(t, 2)
	t.Run("plain", func(t *testing.T) {
		is := is.New(t)
		g := w.ask(0, call{id: "a1", path: "/unsafe/x?q=%2F", body: "hello"})
		assertWhole(t, g)
		is.Equal(g.body, platformtest.PlainAnswer("a1", []byte("hello")))
		r := w.find("a1")
		is.Equal(r.Target, "/unsafe/x?q=%2F")
		is.Equal(r.Body, "hello")
		is.Equal(r.Customer(), "c1")
		is.Equal(r.Key(), "")
		is.Equal(w.runs("a1"), 1)
	})
	t.Run("stream", func(t *testing.T) {
		is := is.New(t)
		g := w.ask(1, call{id: "a2", path: "/stream/x", tokens: 1000})
		assertWhole(t, g)
		is.Equal(g.body, events("a2", 10))
	})
	t.Run("no route", func(t *testing.T) {
		is := is.New(t)
		is.Equal(w.ask(0, call{id: "a3", path: "/other/"}).status, http.StatusNotFound)
	})
	t.Run("unknown key", func(t *testing.T) {
		is := is.New(t)
		is.Equal(w.ask(0, call{id: "a4", path: "/safe/", key: "stolen"}).status, http.StatusUnauthorized)
		is.Equal(w.runs("a4"), 0)
	})
	t.Run("body too large", func(t *testing.T) {
		is := is.New(t)
		g := w.ask(0, call{id: "a5", path: "/safe/", body: string(make([]byte, 1<<20+1))})
		is.Equal(g.status, http.StatusRequestEntityTooLarge)
		is.Equal(w.runs("a5"), 0)
	})
}

// find returns the only run of a request.
func (w *world) find(id string) platformtest.Run {
	w.t.Helper()
	for _, e := range w.endpoints {
		for _, r := range e.Runs() {
			if r.ID == id {
				return r
			}
		}
	}
	w.t.Fatalf("request %s did not run", id)
	return platformtest.Run{}
}

// TestEndpointFails is a table of what endpoints do wrong, and what becomes of a
// request of each kind. With both endpoints failing the same way the answer must
// be true; with one, what may run again is served.
func TestEndpointFails(t *testing.T) {
	reject := platformtest.EndpointFaults{Reject: true}
	lose := platformtest.EndpointFaults{LoseAnswer: true}
	fail := platformtest.EndpointFaults{Fail: true}
	for _, row := range []struct {
		name   string
		path   string
		faults platformtest.EndpointFaults
		all    bool
		status int
		runs   int
	}{
		{"unsafe rejected by all", "/unsafe/", reject, true, 503, 0},
		{"unsafe answer lost", "/unsafe/", lose, true, 502, 1},
		{"safe rejected by one", "/safe/", reject, false, 200, 1},
		{"safe answer lost by one", "/safe/", lose, false, 200, 2},
		{"safe failed by one", "/safe/", fail, false, 200, 2},
		{"safe failed by all", "/safe/", fail, true, 500, 2},
		{"unsafe failed", "/unsafe/", fail, true, 500, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 1)
			w.endpoints["p1"].SetFaults(row.faults)
			if row.all {
				w.endpoints["p2"].SetFaults(row.faults)
			}
			// Twice as many as endpoints, so that the faulty one is met.
			for i := range 4 {
				id := "r" + strconv.Itoa(i)
				g := w.ask(0, call{id: id, path: row.path, method: method(row.path)})
				is.NoErr(g.err)
				is.Equal(g.status, row.status)
				is.True(w.runs(id) <= row.runs)
				if row.status == 503 {
					assertRefused(t, g)
				}
			}
		})
	}
}

func method(path string) string {
	if path == "/safe/" {
		return http.MethodGet
	}
	return http.MethodPost
}

// TestStreamBreaksOff cuts streams in the middle of an event.
func TestStreamBreaksOff(t *testing.T) {
	t.Run("resumable", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 1)
		w.endpoints["e1"].SetFaults(platformtest.EndpointFaults{CutAfterEvents: 4})
		for i := range 4 {
			g := w.ask(0, call{id: "s" + strconv.Itoa(i), path: "/stream/", tokens: 500})
			assertWhole(t, g)
			is.Equal(g.body, events("s"+strconv.Itoa(i), 10)) // each event once and in order
		}
		is.True(len(w.endpoints["e1"].Runs()) > 0) // the faulty endpoint was met
	})
	t.Run("not resumable", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 1)
		for _, name := range []string{"e1", "e2"} {
			w.endpoints[name].SetFaults(platformtest.EndpointFaults{CutAfterEvents: 4})
		}
		g := w.ask(0, call{id: "s", path: "/once/", tokens: 500})
		is.True(g.err != nil) // a cut answer must not look whole
		is.Equal(w.runs("s"), 1)
	})
	t.Run("silent", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 1)
		w.endpoints["e1"].SetFaults(platformtest.EndpointFaults{Silent: true})
		w.endpoints["e2"].SetFaults(platformtest.EndpointFaults{})
		for i := range 2 {
			g := w.ask(0, call{id: "s" + strconv.Itoa(i), path: "/stream/", tokens: 500})
			assertWhole(t, g)
			is.Equal(g.body, events("s"+strconv.Itoa(i), 10))
		}
		is.True(len(w.endpoints["e1"].Runs()) > 0)
	})
}

// TestAttempts counts the endpoints that streams are sent to when all of them
// fail in some way: at most two, as the route says, but for those that broke a
// stream off.
func TestAttempts(t *testing.T) {
	for _, row := range []struct {
		name   string
		faults platformtest.EndpointFaults
		most   int
	}{
		{"reject", platformtest.EndpointFaults{Reject: true}, 0},
		{"fail before the first event", platformtest.EndpointFaults{FailStreams: true}, 2},
		{"fail when a stream goes on", platformtest.EndpointFaults{FailResumed: true, CutAfterEvents: 3}, 2},
		{"silent", platformtest.EndpointFaults{Silent: true}, 2},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 1)
			w.addEndpoint("e3", "engines", fastEngine())
			w.addEndpoint("e4", "engines", fastEngine())
			for _, name := range []string{"e1", "e2", "e3", "e4"} {
				w.endpoints[name].SetFaults(row.faults)
			}
			for i := range 3 {
				id := "n" + strconv.Itoa(i)
				w.ask(0, call{id: id, path: "/stream/", tokens: 500})
				is.True(w.runs(id) <= row.most)
			}
		})
	}
}

// TestKeyTakenAway takes a key away while instances can't learn of it.
func TestKeyTakenAway(t *testing.T) {
	for _, row := range []struct {
		name   string
		faults platformtest.StoreFaults
	}{
		{"store in reach", platformtest.StoreFaults{}},
		{"store refuses", platformtest.StoreFaults{Refuse: true}},
		{"store silent", platformtest.StoreFaults{Silent: true}},
		{"store slow", platformtest.StoreFaults{Delay: 700 * time.Millisecond}},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 1)
			assertWhole(t, w.ask(0, call{id: "before", path: "/safe/", key: "k2"}))
			w.store.SetFaults(row.faults)
			w.configure("k1")
			time.Sleep(revoke)
			g := w.ask(0, call{id: "after", path: "/safe/", key: "k2"})
			is.True(g.status == http.StatusUnauthorized || g.status == http.StatusServiceUnavailable)
			is.Equal(w.runs("after"), 0)
			w.store.SetFaults(platformtest.StoreFaults{})
			w.await("key refused", func() bool {
				return w.ask(0, call{id: "again", path: "/safe/", key: "k2"}).status == http.StatusUnauthorized
			})
			w.await("other key served", func() bool {
				return w.ask(0, call{id: "other", path: "/safe/"}).status == http.StatusOK
			})
			is.Equal(w.runs("again"), 0)
		})
	}
}

// TestKeysNotStrict lets an instance serve on by the newest configuration that it
// knows, as its operator allows. What that configuration does not know is refused as
// uncertain, not as forbidden, and a key that was taken away once that is known.
func TestKeysNotStrict(t *testing.T) {
	is := is.New(t)
	w := newLenientWorld(t, 1)
	w.store.SetFaults(platformtest.StoreFaults{Refuse: true})
	w.configure("k1")
	time.Sleep(revoke)
	assertWhole(t, w.ask(0, call{id: "kept", path: "/safe/"}))
	assertWhole(t, w.ask(0, call{id: "taken", path: "/safe/", key: "k2"}))
	assertRefused(t, w.ask(0, call{id: "unknown key", path: "/safe/", key: "k3"}))
	assertRefused(t, w.ask(0, call{id: "unknown route", path: "/other/"}))
	w.store.SetFaults(platformtest.StoreFaults{})
	w.await("key refused", func() bool {
		return w.ask(0, call{id: "again", path: "/safe/", key: "k2"}).status == http.StatusUnauthorized
	})
	is.Equal(w.ask(0, call{id: "no route", path: "/other/"}).status, http.StatusNotFound)
}

// TestStartWithoutStore starts an instance while the store is down.
func TestStartWithoutStore(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	w.store.SetFaults(platformtest.StoreFaults{Refuse: true})
	g := w.start(1)
	time.Sleep(300 * time.Millisecond)
	is.True(!w.ready(g))
	assertRefused(t, w.ask(1, call{id: "early", path: "/safe/"}))
	w.store.SetFaults(platformtest.StoreFaults{})
	w.await("ready", func() bool { return w.ready(g) })
	assertWhole(t, w.ask(1, call{id: "late", path: "/safe/"}))
}

// TestRequestDuringStart sends a request to an instance that can't know the
// configuration yet, and does shortly after.
func TestRequestDuringStart(t *testing.T) {
	w := newWorld(t, 1)
	w.store.SetFaults(platformtest.StoreFaults{Refuse: true})
	w.start(1)
	time.AfterFunc(100*time.Millisecond, func() { w.store.SetFaults(platformtest.StoreFaults{}) })
	assertWhole(t, w.ask(1, call{id: "early", path: "/safe/"}))
}

// TestLeaving lets an endpoint leave.
func TestLeaving(t *testing.T) {
	for _, row := range []struct {
		name  string
		leave func(w *world)
	}{
		{"says so", func(w *world) { w.entry("p1", "plain", true) }},
		{"entry removed", func(w *world) { w.store.DeleteEndpoint("p1") }},
		{"entry removed and forgotten", func(w *world) {
			w.store.DeleteEndpoint("p1")
			w.store.Compact(platformtest.TopicEndpoints)
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 1)
			row.leave(w)
			w.awaitAll("that it leaves", func(f figures) bool { return f.Store.Departed == 1 })
			before := len(w.endpoints["p1"].Runs())
			for range 20 {
				assertWhole(t, w.ask(0, call{id: "y", path: "/safe/"}))
			}
			is.Equal(len(w.endpoints["p1"].Runs()), before)
		})
	}
}

// TestAddressReused gives an endpoint's address to another one.
func TestAddressReused(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	w.addresses["p3"] = w.addresses["p1"]
	w.endpoints["p1"].Instance = "q1"
	for i := range 6 {
		assertWhole(t, w.ask(0, call{id: "u" + strconv.Itoa(i), path: "/unsafe/"}))
	}
	is.Equal(len(w.endpoints["p1"].Runs()), 0)
}

// TestPlannedStop stops an instance with streams open.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2)
	for _, name := range []string{"e1", "e2"} {
		w.endpoints[name].Events = 60
	}
	var wait sync.WaitGroup
	answers := make([]got, 6)
	for i := range answers {
		wait.Go(func() {
			answers[i] = w.ask(i%2, call{id: "t" + strconv.Itoa(i), path: "/once/", tokens: 500})
		})
	}
	w.await("streams run", func() bool {
		return w.endpoints["e1"].Running()+w.endpoints["e2"].Running() == len(answers)
	})
	done := make(chan struct{})
	go func() {
		w.gateways[0].Stop(t.Context())
		close(done)
	}()
	w.await("not ready", func() bool { return !w.ready(w.gateways[0]) })
	assertWhole(t, w.ask(0, call{id: "while", path: "/safe/"}))
	wait.Wait()
	for i, g := range answers {
		assertWhole(t, g)
		is.Equal(g.body, events("t"+strconv.Itoa(i), 60))
	}
	<-done
}

// TestLateDuringStop sends streams to an instance while it stops. Each is
// answered whole or not taken, and the instance ends with the last of them.
func TestLateDuringStop(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	for _, name := range []string{"e1", "e2"} {
		w.endpoints[name].Events = 100
	}
	go w.gateways[0].Stop(t.Context())
	var mu sync.Mutex
	var wait sync.WaitGroup
	taken, last := 0, time.Now()
	for i := range 12 {
		time.Sleep(250 * time.Millisecond)
		wait.Go(func() {
			id := "late" + strconv.Itoa(i)
			g := w.ask(0, call{id: id, path: "/once/", tokens: 500})
			if g.err != nil {
				is.Equal(w.runs(id), 0)
				return
			}
			assertWhole(t, g)
			mu.Lock()
			defer mu.Unlock()
			taken++
			last = time.Now()
		})
	}
	wait.Wait()
	is.True(taken >= 6 && taken < 12)
	<-w.gateways[0].Done
	is.True(time.Since(last) < time.Second)
}

// TestCallerGone gives a stream up in the middle.
func TestCallerGone(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	for _, name := range []string{"e1", "e2"} {
		w.endpoints[name].Events = 400
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+w.gateways[0].Listen+"/stream/", nil)
	is.NoErr(err)
	req.Host = "api.example"
	platformtest.Caller{
		ID:     "gone",
		Key:    "k1",
		Wait:   4 * time.Second,
		Prompt: 500,
		Output: 100,
	}.Set(req.Header)
	res, err := http.DefaultTransport.RoundTrip(req)
	is.NoErr(err)
	res.Body.Close()
	gone := time.Now()
	w.await("engine is free", func() bool {
		return w.endpoints["e1"].Running()+w.endpoints["e2"].Running() == 0
	})
	is.True(time.Since(gone) < 500*time.Millisecond)
}

// TestLargePrompt serves a prompt that no engine has room for alone, and looks
// that the memory is given back.
func TestLargePrompt(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	g := w.ask(0, call{id: "big", path: "/stream/", tokens: 300_000})
	assertWhole(t, g)
	is.Equal(g.body, events("big", 10))
	r := w.find("big")
	is.True(r.Helpers() != "")
	w.await("memory given back", func() bool {
		return w.endpoints["e1"].ReservedTokens()+w.endpoints["e2"].ReservedTokens() == 0
	})
}

// TestDomainEmptied empties a failure domain, with instances that read the store and that
// follow others, and restores it.
func TestDomainEmptied(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3)
	w.addEndpointIn("d2", "e3", "engines", fastEngine())
	w.addEndpointIn("d2", "p3", "plain", nil)
	w.awaitAll("all endpoints known", func(f figures) bool { return f.Store.Endpoints == 6 })
	// ask asks each instance some times, and returns how many requests ran in the domain.
	ask := func() int {
		before := w.ran("e1", "e2", "p1", "p2")
		for i := range w.gateways {
			for range 6 {
				assertWhole(t, w.ask(i, call{id: "y", path: "/safe/"}))
				assertWhole(t, w.ask(i, call{id: "z", path: "/stream/", tokens: 100}))
			}
		}
		return w.ran("e1", "e2", "p1", "p2") - before
	}
	emptied := func(n int) func(f figures) bool {
		return func(f figures) bool { return len(f.Store.Following.Emptied) == n }
	}
	is.True(ask() > 0)
	w.store.DrainDomain("d1")
	w.awaitAll("the failure domain emptied", emptied(1))
	is.Equal(ask(), 0)
	w.store.Compact(platformtest.TopicOperator)
	is.Equal(ask(), 0)
	w.store.UndrainDomain("d1")
	w.awaitAll("the failure domain restored", emptied(0))
	is.True(ask() > 0)
}
