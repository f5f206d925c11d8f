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
	"github.com/linkmast/linkmast/platform/platformtest"
	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/quarantine"
	"github.com/linkmast/linkmast/route"
	"github.com/linkmast/linkmast/settings"
)

// world is a platform with instances of the system on it.
type world struct {
	t         testing.TB
	store     *platformtest.Store
	storeAddr string
	endpoints map[string]*platformtest.Endpoint
	addresses map[string]string
	gateways  []*gateway.Gateway
	version   int
	// lenient states that keys need not be refused in time by instances that are
	// out of touch.
	lenient bool
}

// revoke is how soon keys must be refused in the tests.
const revoke = 1500 * time.Millisecond

// stopWithin is how long an instance may take to stop.
const stopWithin = 6500 * time.Millisecond

// fastEngine is a model with passes of 10 ms and reading of 1 ms per 1000 tokens.
func fastEngine() *batch.Model {
	return &batch.Model{
		Slots:            8,
		Capacity:         200_000,
		StepsPerPass:     10,
		Step:             time.Millisecond,
		PrefillPerSecond: 1e6,
	}
}

// newWorld starts a store with a configuration, two engines, two plain endpoints
// and some instances.
func newWorld(t testing.TB, instances int) *world {
	t.Helper()
	return startWorld(t, instances, false)
}

// newLenientWorld starts the same with instances that serve keys on by the newest
// configuration that they know.
func newLenientWorld(t testing.TB, instances int) *world {
	t.Helper()
	return startWorld(t, instances, true)
}

func startWorld(t testing.TB, instances int, lenient bool) *world {
	t.Helper()
	w := &world{
		t:         t,
		lenient:   lenient,
		store:     platformtest.NewStore(),
		endpoints: make(map[string]*platformtest.Endpoint),
		addresses: make(map[string]string),
	}
	w.storeAddr = serve(t, w.store)
	w.configure("k1", "k2")
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
	// Instances that start may know of an endpoint later than the store.
	w.awaitAll("endpoints known", func(f figures) bool { return f.Store.Endpoints == len(w.endpoints) })
	return w
}

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

func (w *world) addEndpoint(name, service string, m *batch.Model) {
	w.addEndpointIn("d1", name, service, m)
}

// addEndpointIn adds an endpoint in a failure domain.
func (w *world) addEndpointIn(domain, name, service string, m *batch.Model) {
	e := &platformtest.Endpoint{
		Instance: name,
		Engine:   m,
		Events:   10,
		Work:     5 * time.Millisecond,
	}
	w.endpoints[name] = e
	w.addresses[name] = serve(w.t, e)
	w.enter(name, service, domain, false)
}

// entry writes the entry of an endpoint.
func (w *world) entry(name, service string, leaving bool) {
	w.enter(name, service, "d1", leaving)
}

// enter writes the entry of an endpoint in a failure domain.
func (w *world) enter(name, service, domain string, leaving bool) {
	w.store.PutEndpoint(platformtest.EndpointEntry{
		Instance: name,
		Service:  service,
		Address:  w.addresses[name],
		Domain:   domain,
		Slots:    8,
		Leaving:  leaving,
	})
}

// configure publishes the next version, with one customer that has the keys.
func (w *world) configure(keys ...string) {
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

func (w *world) start(i int) *gateway.Gateway {
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
	g, err := gateway.New(f, logr.Discard(), func() int64 { return 0 })
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(g.Close)
	w.gateways = append(w.gateways, g)
	return g
}

func (w *world) ready(g *gateway.Gateway) bool {
	res, err := http.Get("http://" + g.ReadyListen + "/ready")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// figures are some of what an instance tells on its admin address.
type figures struct {
	Pools      map[string]pool.Stats `json:"pools"`
	Quarantine quarantine.Stats      `json:"quarantine"`
	Store      struct {
		Endpoints int `json:"endpoints"`
		Departed  int `json:"departed"`
		Following struct {
			Emptied []string `json:"emptied"`
		} `json:"following"`
	} `json:"store"`
}

// figures returns what an instance tells.
func (w *world) figures(g *gateway.Gateway) figures {
	w.t.Helper()
	res, err := http.Get("http://" + g.AdminListen + "/metrics")
	if err != nil {
		w.t.Fatal(err)
	}
	defer res.Body.Close()
	var f figures
	if err := json.NewDecoder(res.Body).Decode(&f); err != nil {
		w.t.Fatal(err)
	}
	return f
}

// awaitAll waits until what each instance tells is as it should be.
func (w *world) awaitAll(what string, ok func(f figures) bool) {
	w.t.Helper()
	for _, g := range w.gateways {
		w.await(what, func() bool { return ok(w.figures(g)) })
	}
}

// await waits until something holds.
func (w *world) await(what string, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	w.t.Fatalf("not in time: %s", what)
}

// call is a request of a caller.
type call struct {
	id     string
	method string
	path   string
	key    string
	body   string
	tokens int
	output int
	wait   int
}

// got is an answer as the caller sees it.
type got struct {
	status int
	body   string
	header http.Header
	// err is an answer that is not whole.
	err error
}

// ask sends a request to an instance on a connection of its own.
func (w *world) ask(i int, c call) got {
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
	}.Set(req.Header)
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return got{
			err: err,
		}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return got{
		status: res.StatusCode,
		body:   string(data),
		header: res.Header,
		err:    err,
	}
}

// events is the body of a whole stream.
func events(id string, n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(platformtest.Event(id, i))
	}
	return b.String()
}

// runs returns how often the endpoints ran a request.
func (w *world) runs(id string) int {
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

// ran returns how many requests some endpoints ran.
func (w *world) ran(names ...string) int {
	n := 0
	for _, name := range names {
		n += len(w.endpoints[name].Runs())
	}
	return n
}

// assertWhole checks a whole answer with a proof of origin.
func assertWhole(t *testing.T, g got) {
	t.Helper()
	is := is.New(t)
	is.NoErr(g.err)
	if g.status != http.StatusOK {
		t.Log(g.body)
	}
	is.Equal(g.status, http.StatusOK)
	is.True(platformtest.Signed(g.header))
}

// assertRefused checks a refusal that says when to come back.
func assertRefused(t *testing.T, g got) {
	t.Helper()
	is := is.New(t)
	is.NoErr(g.err)
	is.Equal(g.status, http.StatusServiceUnavailable)
	is.True(platformtest.HasRetryAfter(g.header))
}
