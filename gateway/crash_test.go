// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway_test

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/platform"
	"github.com/linkmast/linkmast/platform/platformtest"
	"github.com/linkmast/linkmast/quarantine"
)

// crashBody is the body of the request that crashes endpoints in these tests.
const crashBody = "crash"

const (
	// downtime is how long an endpoint is down after a crash.
	downtime = 300 * time.Millisecond
	// minCrashes is the number of crashes that ban a request.
	minCrashes = 3
	// maxCrashes is the maximum number of attempts that the crashing request may get: the three
	// that lead to its ban, and three more.
	maxCrashes = 6
)

// crashingEndpoint runs an endpoint and restarts it after each crash, by default under another name.
type crashingEndpoint struct {
	cluster *cluster
	name    string
	service string
	address string
	// sameName makes the endpoint keep its name when it restarts.
	sameName bool
	// downtime is how long the endpoint is down after a crash.
	downtime time.Duration
	endpoint *platformtest.Endpoint

	mu      sync.Mutex
	server  *http.Server
	starts  int
	crashes int
	closed  bool
}

// addCrashing adds an endpoint that crashes on a request with the body crashBody.
func (w *crashCluster) addCrashing(name string, o crashOptions) *crashingEndpoint {
	w.t.Helper()
	x := &crashingEndpoint{
		cluster:  w.cluster,
		name:     name,
		service:  o.service,
		sameName: o.sameName,
		downtime: cmp.Or(o.downtime, downtime),
	}
	x.endpoint = &platformtest.Endpoint{
		Engine: o.model,
		Events: max(o.events, 10),
		Work:   5 * time.Millisecond,
		Crash: func(helpers []string) {
			x.crash()
			if o.crashHelpers {
				w.crashAt(helpers)
			}
		},
	}
	x.endpoint.SetFaults(platformtest.EndpointFaults{
		CrashPrefix:      crashBody,
		CrashAfterEvents: o.crashAfter,
		CrashPart:        o.part,
	})
	l, err := net.Listen("tcp", ownHost()+":0")
	if err != nil {
		w.t.Fatal(err)
	}
	x.address = l.Addr().String()
	x.start(l)
	w.t.Cleanup(x.close)
	return x
}

// ownHost returns a loopback address of this test process, so that no other process takes the port of
// an endpoint that is down.
func ownHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>15&0x3f, pid>>7&0xff, 1+pid&0x7f)
}

// start starts the endpoint, under a new name unless sameName is set, and writes its store entry.
func (x *crashingEndpoint) start(l net.Listener) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.starts++
	instance := x.name
	if !x.sameName {
		instance += "." + strconv.Itoa(x.starts)
	}
	x.endpoint.SetInstance(instance)
	x.server = &http.Server{
		Handler: x.endpoint,
	}
	go x.server.Serve(l)
	x.cluster.store.PutEndpoint(platformtest.EndpointEntry{
		Instance:  instance,
		Service:   x.service,
		Address:   x.address,
		Domain:    "d1",
		Slots:     8,
		StartedAt: time.Now(),
	})
}

// crash closes the endpoint's server and schedules its restart. The store entry stays until then.
func (x *crashingEndpoint) crash() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.server == nil {
		return
	}
	x.crashes++
	_ = x.server.Close()
	x.server = nil
	before := x.endpoint.Name()
	time.AfterFunc(x.downtime, func() { x.restart(before) })
}

// restart starts the endpoint again at its address. before is its previous name.
func (x *crashingEndpoint) restart(before string) {
	l, err := net.Listen("tcp", x.address)
	for err != nil {
		// Another socket may briefly use the port.
		time.Sleep(10 * time.Millisecond)
		l, err = net.Listen("tcp", x.address)
	}
	x.mu.Lock()
	closed := x.closed
	x.mu.Unlock()
	if closed {
		_ = l.Close()
		return
	}
	if !x.sameName {
		x.cluster.store.DeleteEndpoint(before)
	}
	x.start(l)
}

// close stops the endpoint and prevents further restarts.
func (x *crashingEndpoint) close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.closed = true
	if x.server != nil {
		_ = x.server.Close()
	}
}

// crashCluster is a cluster whose endpoints crash on the request with the body crashBody.
type crashCluster struct {
	*cluster
	crashing []*crashingEndpoint
	// maxCrashesPerAttempt is the maximum number of endpoints that one attempt crashes.
	maxCrashesPerAttempt int
}

// crashOptions describes the endpoints of a crashCluster.
type crashOptions struct {
	service string
	// model is the engines' model, or nil for plain endpoints.
	model *batch.Model
	// events is the number of events of a stream, at least ten. crashAfter is the number of events
	// after which a stream crashes its endpoint. Zero means at the start.
	events     int
	crashAfter int
	// sameName makes endpoints keep their names when they restart.
	sameName bool
	// downtime is how long an endpoint is down after a crash. Zero means the constant downtime.
	downtime time.Duration
	// part is the part of prompts that crashes engines; empty means none.
	part string
	// endpoints is the number of endpoints; zero means six.
	endpoints int
	// crashHelpers makes endpoints that share in the prefill of a request crash with the endpoint
	// that runs it.
	crashHelpers bool
}

// engineOptions returns the options of engines that crash when they start to run crashBody.
func engineOptions() crashOptions {
	return crashOptions{
		service: "engines",
		model:   fastEngine(),
	}
}

// newCrashCluster starts three instances and the crashing endpoints of one service. It removes the
// default endpoints of newCluster.
func newCrashCluster(t *testing.T, o crashOptions) *crashCluster {
	t.Helper()
	w := &crashCluster{
		cluster:              newCluster(t, 3),
		maxCrashesPerAttempt: 1,
	}
	if o.crashHelpers {
		w.maxCrashesPerAttempt = 3
	}
	for i := range cmp.Or(o.endpoints, 6) {
		w.crashing = append(w.crashing, w.addCrashing("m"+strconv.Itoa(i), o))
	}
	// The default endpoints are removed only when all endpoints are known, because an instance that
	// knows just some of the crashing ones beside them may have the final number of endpoints, too.
	w.awaitAll("all endpoints known", func(f stats) bool { return f.Store.Endpoints == len(w.endpoints)+len(w.crashing) })
	for name := range w.endpoints {
		w.store.DeleteEndpoint(name)
	}
	w.awaitAll("default endpoints removed", func(f stats) bool {
		return f.Store.Endpoints == len(w.crashing) && f.Pools[o.service].Endpoints == len(w.crashing)
	})
	return w
}

// crashAt crashes the endpoints at the given addresses.
func (w *crashCluster) crashAt(addresses []string) {
	for _, x := range w.crashing {
		if slices.Contains(addresses, x.address) {
			x.crash()
		}
	}
}

// crashes returns the total number of crashes of all endpoints.
func (w *crashCluster) crashes() int {
	n := 0
	for _, x := range w.crashing {
		x.mu.Lock()
		n += x.crashes
		x.mu.Unlock()
	}
	return n
}

// attempts returns how many times endpoints have started to run a request with the body crashBody.
func (w *crashCluster) attempts() int {
	n := 0
	for _, x := range w.crashing {
		for _, r := range x.endpoint.Runs() {
			if r.Body == crashBody {
				n++
			}
		}
	}
	return n
}

// assertContained sends the crashing request to all instances in turn. It checks that the request
// crashes only a few endpoints, that in the end it is refused without reaching one, and that all
// instances have banned it. An instance may refuse it for another reason, such as an old
// configuration.
func (w *crashCluster) assertContained(t *testing.T, path string, tokens int) {
	t.Helper()
	is := is.New(t)
	for i := range 23 {
		w.sendCrashing(i, path, tokens)
	}
	before := w.attempts()
	assertRefused(t, w.sendCrashing(23, path, tokens))
	is.Equal(w.attempts(), before)
	w.assertFewCrashes(t)
	is.True(w.attempts() >= minCrashes)
	is.True(w.crashes() >= minCrashes)
	w.awaitAll("banned", func(f stats) bool { return f.Quarantine.Bans == 1 })
}

// sendCrashing sends the crashing request to one of the instances under an id made from i, and
// then waits 50 ms.
func (w *crashCluster) sendCrashing(i int, path string, tokens int) response {
	answer := w.send(i%len(w.gateways), request{id: "crash" + strconv.Itoa(i), path: path, body: crashBody, tokens: tokens})
	time.Sleep(50 * time.Millisecond)
	return answer
}

// assertFewCrashes checks that the crashing request got at most maxCrashes attempts, and that there
// were at most maxCrashes*maxCrashesPerAttempt crashes.
func (w *crashCluster) assertFewCrashes(t *testing.T) {
	t.Helper()
	is := is.New(t)
	t.Logf("%d attempts, %d endpoints crashed", w.attempts(), w.crashes())
	is.True(w.attempts() <= maxCrashes)
	is.True(w.crashes() <= maxCrashes*w.maxCrashesPerAttempt)
}

// TestCrashingRequest guards against a request that crashes one endpoint after another, because its
// caller retries it at other instances under other ids.
func TestCrashingRequest(t *testing.T) {
	plain := crashOptions{
		service: "plain",
	}
	later := engineOptions()
	later.events, later.crashAfter = 60, 2
	for _, row := range []struct {
		name    string
		path    string
		tokens  int
		options crashOptions
	}{
		{"resumable stream", "/stream/x", 500, engineOptions()},
		{"stream that is not resumable", "/once/x", 500, engineOptions()},
		{"stream that resumes at another endpoint after each crash", "/stream/x", 500, later},
		{"joint prefill by two engines", "/stream/x", 300_000, engineOptions()},
		{"safe request to a plain endpoint", "/safe/x", 0, plain},
		{"unsafe request to a plain endpoint", "/unsafe/x", 0, plain},
	} {
		t.Run(row.name, func(t *testing.T) {
			w := newCrashCluster(t, row.options)
			w.assertContained(t, row.path, row.tokens)
			assertWhole(t, w.send(0, request{id: "other", path: row.path, body: "other", tokens: 500}))
		})
	}
}

// TestCrashingRequestWithReaders checks that a request is banned if it crashes all engines of its
// joint prefill while they serve other requests. The crash of an engine that only has a share of the
// prefill must not count as a sign of another cause.
func TestCrashingRequestWithReaders(t *testing.T) {
	o := engineOptions()
	o.crashHelpers, o.events = true, 100
	// Crashes at one address within a second count as one.
	o.downtime = 1200 * time.Millisecond
	w := newCrashCluster(t, o)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for c := range 30 {
		callers.Go(func() { w.sendUntil(c, stop) })
	}
	w.await("most engines answer", func() bool { return w.answering() >= len(w.crashing)-1 })
	for i := range 72 { // some attempts find no free memory
		w.sendCrashing(i, "/stream/x", 300_000)
	}
	w.awaitAll("banned", func(f stats) bool { return f.Quarantine.Bans == 1 })
	w.assertFewCrashes(t)
	assertRefused(t, w.sendCrashing(0, "/stream/x", 300_000))
	close(stop)
	callers.Wait()
}

// answering returns the number of endpoints that are running a request.
func (w *crashCluster) answering() int {
	n := 0
	for _, x := range w.crashing {
		n += min(x.endpoint.Running(), 1)
	}
	return n
}

// sendUntil sends distinct requests of one caller, one after another, until stop is closed.
func (w *crashCluster) sendUntil(caller int, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		id := "c" + strconv.Itoa(caller) + "." + strconv.Itoa(i)
		w.send(caller%len(w.gateways), request{id: id, path: "/stream/x", body: id, tokens: 500})
	}
}

// TestCrashingRequestDuringStoreOutage checks that a crashing request is contained while the store
// is unavailable, and that the ban is written to the store afterwards. Endpoints keep their names,
// so that instances that can't read the store still use them.
func TestCrashingRequestDuringStoreOutage(t *testing.T) {
	o := engineOptions()
	o.sameName = true
	w := newCrashCluster(t, o)
	w.store.SetFaults(platformtest.StoreFaults{
		Refuse: true,
	})
	w.assertContained(t, "/stream/x", 500)
	w.store.SetFaults(platformtest.StoreFaults{})
	w.await("ban in the store", func() bool { return w.store.HasKeyPrefix(platformtest.TopicPeers, "ban/") })
}

// TestBanOutlivesInstances checks that an instance knows an existing ban after all instances have
// been replaced.
func TestBanOutlivesInstances(t *testing.T) {
	is := is.New(t)
	w := newCrashCluster(t, engineOptions())
	w.assertContained(t, "/stream/x", 500)
	w.await("ban in the store", func() bool { return w.store.HasKeyPrefix(platformtest.TopicPeers, "ban/") })
	for _, g := range w.gateways {
		g.Close()
	}
	before := w.crashes()
	w.gateways = nil
	w.start(3)
	w.await("ready", func() bool { return w.ready(w.gateways[0]) })
	w.awaitAll("ban known", func(f stats) bool { return f.Quarantine.Bans == 1 })
	assertRefused(t, w.send(0, request{id: "after", path: "/stream/x", body: crashBody, tokens: 500}))
	is.Equal(w.crashes(), before)
}

// TestBanReleased checks that a request may run again after an operator has removed its ban from
// the store.
func TestBanReleased(t *testing.T) {
	is := is.New(t)
	w := newCrashCluster(t, engineOptions())
	w.assertContained(t, "/stream/x", 500)
	w.awaitAll("ban known", func(f stats) bool { return f.Quarantine.Bans == 1 })
	w.await("ban in the store", func() bool { return w.store.HasKeyPrefix(platformtest.TopicPeers, "ban/") })
	before := w.attempts()
	id := quarantine.Identify("/stream/x", "c1", []byte(crashBody))
	is.NoErr(platform.NewStore(wirehttp.Client(), w.storeAddr).EraseBan(t.Context(), id))
	w.awaitAll("released", func(f stats) bool { return f.Quarantine.Bans == 0 })
	w.await("runs again", func() bool {
		w.sendCrashing(0, "/stream/x", 500)
		return w.attempts() > before
	})
}

// TestBrokenAnswersAreNoCrash checks that an interrupted answer doesn't count as a crash if the
// endpoint is still running.
func TestBrokenAnswersAreNoCrash(t *testing.T) {
	is := is.New(t)
	w := newCluster(t, 2)
	for _, name := range []string{"e1", "e2"} {
		w.endpoints[name].SetFaults(platformtest.EndpointFaults{
			CutAfterEvents: 1,
		})
	}
	for i := range 8 {
		id := "cut" + strconv.Itoa(i)
		g := w.send(i%2, request{id: id, path: "/once/x", body: "usual", tokens: 500})
		is.True(g.err != nil) // the answer was interrupted
		is.Equal(w.runs(id), 1)
	}
	for _, g := range w.gateways {
		is.Equal(w.stats(g).Quarantine.Crashes, 0)
	}
	for _, name := range []string{"e1", "e2"} {
		w.endpoints[name].SetFaults(platformtest.EndpointFaults{})
	}
	assertWhole(t, w.send(0, request{id: "end", path: "/once/x", body: "usual", tokens: 500}))
}
