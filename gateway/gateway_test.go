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

// TestServe checks plain requests, streams, and the refusals of invalid requests.
func TestServe(t *testing.T) {
	w := newCluster(t, 2)
	t.Run("plain", func(t *testing.T) {
		is := is.New(t)
		g := w.send(0, request{id: "a1", path: "/unsafe/x?q=%2F", body: "hello"})
		assertWhole(t, g)
		is.Equal(g.body, platformtest.PlainAnswer("a1", []byte("hello")))
		r := w.findRun("a1")
		is.Equal(r.Target, "/unsafe/x?q=%2F")
		is.Equal(r.Body, "hello")
		is.Equal(r.Customer(), "c1")
		is.Equal(r.Key(), "")
		is.Equal(w.runs("a1"), 1)
	})
	t.Run("stream", func(t *testing.T) {
		is := is.New(t)
		g := w.send(1, request{id: "a2", path: "/stream/x", tokens: 1000})
		assertWhole(t, g)
		is.Equal(g.body, events("a2", 10))
	})
	t.Run("no route", func(t *testing.T) {
		is := is.New(t)
		is.Equal(w.send(0, request{id: "a3", path: "/other/"}).status, http.StatusNotFound)
	})
	t.Run("unknown key", func(t *testing.T) {
		is := is.New(t)
		is.Equal(w.send(0, request{id: "a4", path: "/safe/", key: "stolen"}).status, http.StatusUnauthorized)
		is.Equal(w.runs("a4"), 0)
	})
	t.Run("body too large", func(t *testing.T) {
		is := is.New(t)
		g := w.send(0, request{id: "a5", path: "/safe/", body: string(make([]byte, 1<<20+1))})
		is.Equal(g.status, http.StatusRequestEntityTooLarge)
		is.Equal(w.runs("a5"), 0)
	})
}

// findRun returns a run of the request with an id. It fails the test if there is none.
func (w *cluster) findRun(id string) platformtest.Run {
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

// TestEndpointFails checks the status and the maximum number of runs of safe and unsafe requests if
// one or all endpoints fail. all says whether both endpoints have the faults or only the used one.
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
			w := newCluster(t, 1)
			faulty := []string{"p1", "p2"}
			if !row.all {
				faulty = []string{w.usedEndpoint(row.path, "p1", "p2")}
			}
			before := w.totalArrivals(faulty...)
			w.setFaults(row.faults, faulty...)
			for i := range 4 {
				id := "r" + strconv.Itoa(i)
				g := w.send(0, request{id: id, path: row.path, method: method(row.path)})
				is.NoErr(g.err)
				is.Equal(g.status, row.status)
				is.True(w.runs(id) <= row.runs)
				if row.status == 503 {
					assertRefused(t, g)
				}
			}
			is.True(w.totalArrivals(faulty...) > before) // a faulty endpoint received requests
		})
	}
}

// usedEndpoint sends a request to instance 0 and returns which of the named endpoints ran it. While
// their loads are equal, the instance also prefers this endpoint for later requests.
func (w *cluster) usedEndpoint(path string, names ...string) string {
	w.t.Helper()
	w.send(0, request{id: "first", path: path, method: method(path), tokens: 500})
	for _, name := range names {
		if w.totalRuns(name) > 0 {
			return name
		}
	}
	w.t.Fatal("the first request did not run")
	return ""
}

// totalArrivals returns the total number of requests that the named endpoints have received.
func (w *cluster) totalArrivals(names ...string) int {
	n := 0
	for _, name := range names {
		n += len(w.endpoints[name].Arrivals())
	}
	return n
}

// method returns the HTTP method for requests to a path.
func method(path string) string {
	if path == "/safe/" {
		return http.MethodGet
	}
	return http.MethodPost
}

// TestStreamInterrupted checks that a resumable stream that breaks off or stalls is completed by
// another endpoint, and that any other stream is visibly incomplete and runs only once.
func TestStreamInterrupted(t *testing.T) {
	t.Run("resumable", func(t *testing.T) {
		is := is.New(t)
		w := newCluster(t, 1)
		w.endpoints["e1"].SetFaults(platformtest.EndpointFaults{CutAfterEvents: 4})
		for i := range 4 {
			g := w.send(0, request{id: "s" + strconv.Itoa(i), path: "/stream/", tokens: 500})
			assertWhole(t, g)
			is.Equal(g.body, events("s"+strconv.Itoa(i), 10)) // each event once and in order
		}
		is.True(len(w.endpoints["e1"].Runs()) > 0) // the faulty endpoint was used
	})
	t.Run("not resumable", func(t *testing.T) {
		is := is.New(t)
		w := newCluster(t, 1)
		for _, name := range []string{"e1", "e2"} {
			w.endpoints[name].SetFaults(platformtest.EndpointFaults{CutAfterEvents: 4})
		}
		g := w.send(0, request{id: "s", path: "/once/", tokens: 500})
		is.True(g.err != nil) // an interrupted answer must not look complete
		is.Equal(w.runs("s"), 1)
	})
	t.Run("silent", func(t *testing.T) {
		is := is.New(t)
		w := newCluster(t, 1)
		w.endpoints["e1"].SetFaults(platformtest.EndpointFaults{Silent: true})
		w.endpoints["e2"].SetFaults(platformtest.EndpointFaults{})
		for i := range 2 {
			g := w.send(0, request{id: "s" + strconv.Itoa(i), path: "/stream/", tokens: 500})
			assertWhole(t, g)
			is.Equal(g.body, events("s"+strconv.Itoa(i), 10))
		}
		is.True(len(w.endpoints["e1"].Runs()) > 0)
	})
}

// TestAttempts guards against streams that run more often than the route's maximum number of
// attempts allows when all endpoints fail.
func TestAttempts(t *testing.T) {
	for _, row := range []struct {
		name   string
		faults platformtest.EndpointFaults
		most   int
	}{
		{"reject", platformtest.EndpointFaults{Reject: true}, 0},
		{"fail before the first event", platformtest.EndpointFaults{FailStreams: true}, 2},
		{"fail when a stream is resumed", platformtest.EndpointFaults{FailResumed: true, CutAfterEvents: 3}, 2},
		{"silent", platformtest.EndpointFaults{Silent: true}, 2},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			w := newCluster(t, 1)
			w.addEndpoint("e3", "engines", fastEngine())
			w.addEndpoint("e4", "engines", fastEngine())
			w.awaitAll("all endpoints known", func(f stats) bool {
				return f.Store.Endpoints == len(w.endpoints) && f.Pools["engines"].Endpoints == 4
			})
			for _, name := range []string{"e1", "e2", "e3", "e4"} {
				w.endpoints[name].SetFaults(row.faults)
			}
			for i := range 3 {
				id := "n" + strconv.Itoa(i)
				w.send(0, request{id: id, path: "/stream/", tokens: 500})
				is.True(w.arrivals(id) > 0)
				is.True(w.runs(id) <= row.most)
			}
		})
	}
}

// arrivals returns how many times the endpoints received the request with an id.
func (w *cluster) arrivals(id string) int {
	n := 0
	for _, e := range w.endpoints {
		for _, a := range e.Arrivals() {
			if a.ID == id {
				n++
			}
		}
	}
	return n
}

// TestKeyRevoked guards against an instance that accepts a revoked key after the time limit, also
// if it can't read the store.
func TestKeyRevoked(t *testing.T) {
	for _, row := range []struct {
		name   string
		faults platformtest.StoreFaults
	}{
		{"store available", platformtest.StoreFaults{}},
		{"store refuses", platformtest.StoreFaults{Refuse: true}},
		{"store silent", platformtest.StoreFaults{Silent: true}},
		{"store slow", platformtest.StoreFaults{Delay: 700 * time.Millisecond}},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			w := newCluster(t, 1)
			assertWhole(t, w.send(0, request{id: "before", path: "/safe/", key: "k2"}))
			w.store.SetFaults(row.faults)
			w.publish("k1")
			time.Sleep(revoke)
			g := w.send(0, request{id: "after", path: "/safe/", key: "k2"})
			is.True(g.status == http.StatusUnauthorized || g.status == http.StatusServiceUnavailable)
			is.Equal(w.runs("after"), 0)
			w.store.SetFaults(platformtest.StoreFaults{})
			w.await("key refused", func() bool {
				return w.send(0, request{id: "again", path: "/safe/", key: "k2"}).status == http.StatusUnauthorized
			})
			w.await("other key served", func() bool {
				return w.send(0, request{id: "other", path: "/safe/"}).status == http.StatusOK
			})
			is.Equal(w.runs("again"), 0)
		})
	}
}

// TestKeysNotStrict checks an instance without RevokeStrict that can't read the store. It accepts
// the keys of its newest configuration, and refuses unknown keys and routes with status 503 because
// they may be new. It refuses a key that was revoked meanwhile once it can read the store again.
func TestKeysNotStrict(t *testing.T) {
	is := is.New(t)
	w := newLenientCluster(t, 1)
	w.store.SetFaults(platformtest.StoreFaults{Refuse: true})
	w.publish("k1")
	time.Sleep(revoke)
	assertWhole(t, w.send(0, request{id: "kept", path: "/safe/"}))
	assertWhole(t, w.send(0, request{id: "taken", path: "/safe/", key: "k2"}))
	assertRefused(t, w.send(0, request{id: "unknown key", path: "/safe/", key: "k3"}))
	assertRefused(t, w.send(0, request{id: "unknown route", path: "/other/"}))
	w.store.SetFaults(platformtest.StoreFaults{})
	w.await("key refused", func() bool {
		return w.send(0, request{id: "again", path: "/safe/", key: "k2"}).status == http.StatusUnauthorized
	})
	is.Equal(w.send(0, request{id: "no route", path: "/other/"}).status, http.StatusNotFound)
}

// TestStartWithoutStore checks that an instance that starts during an outage of the store is not
// ready and refuses requests until the store is back.
func TestStartWithoutStore(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 1)
	w.store.SetFaults(platformtest.StoreFaults{Refuse: true})
	g := w.start(1)
	time.Sleep(300 * time.Millisecond)
	is.True(!w.ready(g))
	assertRefused(t, w.send(1, request{id: "early", path: "/safe/"}))
	w.store.SetFaults(platformtest.StoreFaults{})
	w.await("ready", func() bool { return w.ready(g) })
	assertWhole(t, w.send(1, request{id: "late", path: "/safe/"}))
}

// TestRequestDuringStart checks that a request waits for the configuration if it arrives shortly
// before the instance has read it.
func TestRequestDuringStart(t *testing.T) {
	w := newCluster(t, 1)
	w.store.SetFaults(platformtest.StoreFaults{Refuse: true})
	w.start(1)
	time.AfterFunc(100*time.Millisecond, func() { w.store.SetFaults(platformtest.StoreFaults{}) })
	assertWhole(t, w.send(1, request{id: "early", path: "/safe/"}))
}

// TestEndpointLeaves guards against requests to an endpoint whose store entry says that it leaves,
// or has been removed.
func TestEndpointLeaves(t *testing.T) {
	for _, row := range []struct {
		name  string
		leave func(w *cluster, endpoint string)
	}{
		{"entry marked as leaving", func(w *cluster, endpoint string) { w.register(endpoint, "plain", true) }},
		{"entry removed", func(w *cluster, endpoint string) { w.store.DeleteEndpoint(endpoint) }},
		{"entry removed and topic compacted", func(w *cluster, endpoint string) {
			w.store.DeleteEndpoint(endpoint)
			w.store.Compact(platformtest.TopicEndpoints)
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			w := newCluster(t, 1)
			leaving := w.usedEndpoint("/safe/", "p1", "p2")
			row.leave(w, leaving)
			w.awaitAll("departure known", func(f stats) bool { return f.Store.Departed == 1 })
			before := w.totalRuns(leaving)
			for range 20 {
				assertWhole(t, w.send(0, request{id: "y", path: "/safe/"}))
			}
			is.Equal(w.totalRuns(leaving), before)
		})
	}
}

// TestAddressReused guards against a request that runs on another endpoint that has taken over the
// address of a listed one.
func TestAddressReused(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 1)
	reused := w.usedEndpoint("/unsafe/", "p1", "p2")
	w.endpoints[reused].SetInstance("q1")
	runs, arrivals := w.totalRuns(reused), w.totalArrivals(reused)
	for i := range 6 {
		assertWhole(t, w.send(0, request{id: "u" + strconv.Itoa(i), path: "/unsafe/"}))
	}
	is.True(w.totalArrivals(reused) > arrivals) // the reused address received requests
	is.Equal(w.totalRuns(reused), runs)
}

// TestPlannedStop checks that an instance that stops completes its open streams and serves new
// requests at first.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 2)
	for _, name := range []string{"e1", "e2"} {
		w.endpoints[name].Events = 60
	}
	var wait sync.WaitGroup
	answers := make([]response, 6)
	for i := range answers {
		wait.Go(func() {
			answers[i] = w.send(i%2, request{id: "t" + strconv.Itoa(i), path: "/once/", tokens: 500})
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
	assertWhole(t, w.send(0, request{id: "while", path: "/safe/"}))
	wait.Wait()
	for i, g := range answers {
		assertWhole(t, g)
		is.Equal(g.body, events("t"+strconv.Itoa(i), 60))
	}
	<-done
}

// TestNewStreamsDuringStop checks that each stream that arrives during a stop is either completed
// or not started, and that the instance ends soon after the last one.
func TestNewStreamsDuringStop(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 1)
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
			g := w.send(0, request{id: id, path: "/once/", tokens: 500})
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

// TestCallerDisconnects guards against an engine that still runs a stream after its caller has
// disconnected.
func TestCallerDisconnects(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 1)
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
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(w.endpoints["e1"].Running()+w.endpoints["e2"].Running(), 1)
	res.Body.Close()
	gone := time.Now()
	w.await("engine is free", func() bool {
		return w.endpoints["e1"].Running()+w.endpoints["e2"].Running() == 0
	})
	is.True(time.Since(gone) < 500*time.Millisecond)
}

// TestLargePrompt checks that a prompt that is too large for one engine runs as a joint prefill,
// and that all engines free its memory afterwards.
func TestLargePrompt(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 1)
	g := w.send(0, request{id: "big", path: "/stream/", tokens: 300_000})
	assertWhole(t, g)
	is.Equal(g.body, events("big", 10))
	r := w.findRun("big")
	is.True(r.Helpers() != "")
	w.await("memory freed", func() bool {
		return w.endpoints["e1"].ReservedTokens()+w.endpoints["e2"].ReservedTokens() == 0
	})
}

// TestDomainDrained guards against requests to a drained failure domain, also after the store has
// compacted the operator's records, and checks that the domain is used again once it is undrained.
func TestDomainDrained(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 3)
	w.addEndpointIn("d2", "e3", "engines", fastEngine())
	w.addEndpointIn("d2", "p3", "plain", nil)
	w.awaitAll("all endpoints known", func(f stats) bool { return f.Store.Endpoints == 6 })
	// runsInDomain sends requests to each instance and returns how many of them ran in domain d1.
	runsInDomain := func() int {
		before := w.totalRuns("e1", "e2", "p1", "p2")
		for i := range w.gateways {
			for range 6 {
				assertWhole(t, w.send(i, request{id: "y", path: "/safe/"}))
				assertWhole(t, w.send(i, request{id: "z", path: "/stream/", tokens: 100}))
			}
		}
		return w.totalRuns("e1", "e2", "p1", "p2") - before
	}
	drained := func(n int) func(f stats) bool {
		return func(f stats) bool { return len(f.Store.Following.Drained) == n }
	}
	is.True(runsInDomain() > 0)
	w.store.DrainDomain("d1")
	w.awaitAll("the failure domain drained", drained(1))
	is.Equal(runsInDomain(), 0)
	w.store.Compact(platformtest.TopicOperator)
	is.Equal(runsInDomain(), 0)
	w.store.UndrainDomain("d1")
	w.awaitAll("the failure domain undrained", drained(0))
	is.True(runsInDomain() > 0)
}
