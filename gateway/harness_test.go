// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway_test

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/config"
	"github.com/linkmast/linkmast/gateway"
	"github.com/linkmast/linkmast/internal/tcp/tcptest"
	"github.com/linkmast/linkmast/platform/platformtest"
	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/quarantine"
	"github.com/linkmast/linkmast/route"
	"github.com/linkmast/linkmast/settings"
)

// cluster is a simulated platform with a store and endpoints, and instances that run on it.
type cluster struct {
	t         testing.TB
	store     *platformtest.Store
	storeAddr string
	endpoints map[string]*platformtest.Endpoint
	addresses map[string]string
	gateways  []*gateway.Gateway
	// links has the links of each instance to the endpoints.
	links   []*tcptest.Dialer
	version int
	// lenient turns RevokeStrict off: instances that can't reach the store go on accepting keys.
	lenient bool
}

// revoke is the time limit for refusing revoked keys.
const revoke = 1500 * time.Millisecond

// stopWithin is the time limit for a planned stop.
const stopWithin = 6500 * time.Millisecond

// fastEngine returns an engine model with passes of 10 ms and a prefill of 1 ms per 1000 tokens.
func fastEngine() *batch.Model {
	return &batch.Model{
		Slots:            8,
		Capacity:         200_000,
		StepsPerPass:     10,
		Step:             time.Millisecond,
		PrefillPerSecond: 1e6,
	}
}

// newCluster starts a store with a configuration, two engines, two plain endpoints and a number of
// instances, and waits until all instances are ready.
func newCluster(t testing.TB, instances int) *cluster {
	t.Helper()
	return startCluster(t, instances, false)
}

// newLenientCluster starts the same cluster with instances that go on accepting keys while they
// can't reach the store.
func newLenientCluster(t testing.TB, instances int) *cluster {
	t.Helper()
	return startCluster(t, instances, true)
}

func startCluster(t testing.TB, instances int, lenient bool) *cluster {
	t.Helper()
	w := &cluster{
		t:         t,
		lenient:   lenient,
		store:     platformtest.NewStore(),
		endpoints: make(map[string]*platformtest.Endpoint),
		addresses: make(map[string]string),
	}
	w.storeAddr = serve(t, w.store)
	w.publish("k1", "k2")
	for _, name := range []string{"e1", "e2"} {
		w.addEndpoint(name, "engines", fastEngine())
	}
	for _, name := range []string{"p1", "p2"} {
		w.addEndpoint(name, "plain", nil)
	}
	for i := range instances {
		w.start(i)
	}
	for _, g := range w.gateways {
		w.await("ready", func() bool { return w.ready(g) })
	}
	// An instance may be ready before it has received all endpoints.
	w.awaitAll("endpoints known", func(f stats) bool { return f.Store.Endpoints == len(w.endpoints) })
	return w
}

// serve starts an HTTP server on a free port until the test ends, and returns its address.
func serve(t testing.TB, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{
		Handler: h,
	}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// addEndpoint adds an endpoint in failure domain d1.
func (w *cluster) addEndpoint(name, service string, m *batch.Model) {
	w.addEndpointIn("d1", name, service, m)
}

// addEndpointIn starts an endpoint and registers it in a failure domain. A nil model means a plain
// endpoint.
func (w *cluster) addEndpointIn(domain, name, service string, m *batch.Model) {
	e := &platformtest.Endpoint{
		Instance: name,
		Engine:   m,
		Events:   10,
		Work:     5 * time.Millisecond,
	}
	w.endpoints[name] = e
	w.addresses[name] = serve(w.t, e)
	w.registerIn(name, service, domain, false)
}

// register writes the store entry of an endpoint in failure domain d1.
func (w *cluster) register(name, service string, leaving bool) {
	w.registerIn(name, service, "d1", leaving)
}

// registerIn writes the store entry of an endpoint in a failure domain.
func (w *cluster) registerIn(name, service, domain string, leaving bool) {
	w.store.PutEndpoint(platformtest.EndpointEntry{
		Instance: name,
		Service:  service,
		Address:  w.addresses[name],
		Domain:   domain,
		Slots:    8,
		Leaving:  leaving,
	})
}

// publish publishes the next version of the configuration, with one customer that has the keys.
func (w *cluster) publish(keys ...string) {
	w.version++
	one := func(prefix string, kind route.Kind, service string, resumable bool) route.Route {
		return route.Route{
			Name:        prefix,
			Host:        "api.example",
			Prefix:      prefix,
			Kind:        kind,
			Shares:      []route.Share{{Service: service, Weight: 1}},
			Timeout:     4 * time.Second,
			Target:      300 * time.Millisecond,
			GapTarget:   250 * time.Millisecond,
			MaxAttempts: 2,
			Resumable:   resumable,
			Rank:        1,
		}
	}
	w.store.Publish(w.version, []route.Route{
		one("/stream/", route.Streaming, "engines", true),
		one("/once/", route.Streaming, "engines", false),
		one("/safe/", route.Safe, "plain", false),
		one("/unsafe/", route.Unsafe, "plain", false),
	}, map[string]*batch.Model{
		"engines": fastEngine(),
		"plain":   nil,
	}, 1<<20, []route.Customer{{ID: "c1", Keys: keys}})
}

// start starts instance i. It doesn't wait until the instance is ready.
func (w *cluster) start(i int) *gateway.Gateway {
	strict := !w.lenient
	f := &settings.File{
		ID:            "node-" + strconv.Itoa(i),
		Region:        "r1",
		FailureDomain: "d1",
		Listen:        "127.0.0.1:0",
		ReadyListen:   "127.0.0.1:0",
		PeerListen:    "127.0.0.1:0",
		AdminListen:   "127.0.0.1:0",
		Platform: settings.Platform{
			Store: w.storeAddr,
		},
		Retries: settings.Retries{
			Ratio:  1,
			Extra:  100,
			Window: config.Duration(10 * time.Second),
		},
		Times: settings.Times{
			Revoke:       config.Duration(revoke),
			RevokeStrict: &strict,
			StopWithin:   config.Duration(stopWithin),
		},
	}
	f.SetDefaults()
	for len(w.links) <= i {
		w.links = append(w.links, new(tcptest.Dialer))
	}
	g, err := gateway.New(w.t.Context(), f, gateway.Parts{
		Log:          logr.Discard(),
		DroppedLines: func() int64 { return 0 },
		DialEndpoint: w.links[i].DialContext,
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(g.Close)
	w.gateways = append(w.gateways, g)
	return g
}

// ready reports whether an instance answers the readiness check with status 200.
func (w *cluster) ready(g *gateway.Gateway) bool {
	res, err := http.Get("http://" + g.ReadyListen + "/ready")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// stats holds some of the metrics of an instance.
type stats struct {
	Pools      map[string]pool.Stats `json:"pools"`
	Quarantine quarantine.Stats      `json:"quarantine"`
	Store      struct {
		Version   int `json:"version"`
		Endpoints int `json:"endpoints"`
		Departed  int `json:"departed"`
		Peers     int `json:"peers"`
		Following struct {
			Drained []string `json:"emptied"`
		} `json:"following"`
	} `json:"store"`
}

// stats reads the metrics of an instance.
func (w *cluster) stats(g *gateway.Gateway) stats {
	w.t.Helper()
	res, err := http.Get("http://" + g.AdminListen + "/metrics")
	if err != nil {
		w.t.Fatal(err)
	}
	defer res.Body.Close()
	var f stats
	if err := json.NewDecoder(res.Body).Decode(&f); err != nil {
		w.t.Fatal(err)
	}
	return f
}

// awaitAll waits until the metrics of every instance meet a condition.
func (w *cluster) awaitAll(what string, ok func(f stats) bool) {
	w.t.Helper()
	for _, g := range w.gateways {
		w.await(what, func() bool { return ok(w.stats(g)) })
	}
}

// await waits until ok returns true. It fails the test after 5 seconds.
func (w *cluster) await(what string, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	w.t.Fatalf("condition not met within 5 s: %s", what)
}

// request is a request from a caller. tokens and output are the numbers of its prompt tokens and
// output tokens, wait is the caller's time limit in ms. For zero fields, send uses method POST, key k1
// and a wait of 4000, and it raises output to at least 100.
type request struct {
	id     string
	method string
	path   string
	key    string
	body   string
	tokens int
	output int
	wait   int
	// parts has the ids of the parts of the prompt, of which the last is the request's own.
	parts []string
}

// response is the answer that a caller received.
type response struct {
	status int
	body   string
	header http.Header
	// err is set if the answer is incomplete or missing.
	err error
}

// newRequest returns the request that send sends.
func (w *cluster) newRequest(i int, c request) *http.Request {
	if c.method == "" {
		c.method = http.MethodPost
	}
	if c.key == "" {
		c.key = "k1"
	}
	if c.wait == 0 {
		c.wait = 4000
	}
	req, err := http.NewRequest(c.method, "http://"+w.gateways[i].Listen+c.path, strings.NewReader(c.body))
	if err != nil {
		w.t.Fatal(err)
	}
	req.Host = "api.example"
	req.Close = true
	platformtest.Caller{
		ID:     c.id,
		Key:    c.key,
		Wait:   time.Duration(c.wait) * time.Millisecond,
		Prompt: c.tokens,
		Output: max(c.output, 100),
		Parts:  c.parts,
	}.Set(req.Header)
	return req
}

// send sends a request to instance i on a new connection and returns the answer.
func (w *cluster) send(i int, c request) response {
	res, err := http.DefaultTransport.RoundTrip(w.newRequest(i, c))
	if err != nil {
		return response{
			err: err,
		}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return response{
		status: res.StatusCode,
		body:   string(data),
		header: res.Header,
		err:    err,
	}
}

// events returns the body of a complete stream with n events.
func events(id string, n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(platformtest.Event(id, i))
	}
	return b.String()
}

// runs returns how many times the endpoints ran the request with an id.
func (w *cluster) runs(id string) int {
	n := 0
	for _, e := range w.endpoints {
		for _, r := range e.Runs() {
			if r.ID == id {
				n++
			}
		}
	}
	return n
}

// totalRuns returns the total number of requests that the named endpoints have run.
func (w *cluster) totalRuns(names ...string) int {
	n := 0
	for _, name := range names {
		n += len(w.endpoints[name].Runs())
	}
	return n
}

// assertWhole checks that an answer is complete and successful, and carries the header that proves
// which endpoint gave it.
func assertWhole(t *testing.T, g response) {
	t.Helper()
	is := is.New(t)
	is.NoErr(g.err)
	if g.status != http.StatusOK {
		t.Log(g.body)
	}
	is.Equal(g.status, http.StatusOK)
	is.True(platformtest.Signed(g.header))
}

// assertRefused checks that an answer has status 503 and says when to retry.
func assertRefused(t *testing.T, g response) {
	t.Helper()
	is := is.New(t)
	is.NoErr(g.err)
	is.Equal(g.status, http.StatusServiceUnavailable)
	is.True(platformtest.HasRetryAfter(g.header))
}
