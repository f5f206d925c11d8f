// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"google.golang.org/grpc"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/peer"
	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/pool/poolpb"
	"github.com/linkmast/linkmast/route"
)

// node is one instance of a fleet.
type node struct {
	// number is the part of the name after the letter.
	number    int
	self      catalog.Peer
	scheduler *pool.Scheduler
	client    *pool.Client
	rpc       *grpc.Server
	// known is closed once the instance knows the endpoints.
	known   chan struct{}
	closing chan struct{}
	// listener accepts the connections of other instances.
	listener *resettable
	// now is the clock of the scheduler.
	now func() time.Time
	// stop ends the instance without notice.
	stop func()
}

// fleet is a group of instances that know each other.
type fleet struct {
	t     *testing.T
	nodes []*node
	snap  *catalog.Snapshot
	// advance is by how much the clock of the schedulers is ahead.
	advance atomic.Int64
	// firsts counts the first sends of the requests that owner placed.
	firsts int
	// cut reports whether an instance can't connect to an address; nil means that all can.
	cut atomic.Pointer[func(n *node, address string) bool]
}

// cutDialer fails to connect to the addresses that are cut.
type cutDialer struct {
	pool.Dialer
	cut func(address string) bool
}

// Conn implements pool.Dialer.
func (d *cutDialer) Conn(address string) (*grpc.ClientConn, error) {
	if d.cut(address) {
		return nil, errors.New("unreachable")
	}
	return d.Dialer.Conn(address)
}

// newFleet returns a fleet of n instances that know the endpoints e0 to e3 of the service "engines"
// and p0 and p1 of "plain".
func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{
		t: t,
		snap: &catalog.Snapshot{
			Table: route.New(1, nil, []route.Service{
				{Name: "engines", Engine: model()},
				{Name: "plain"},
			}, nil, false, route.Limits{}),
			Endpoints: make(map[string]catalog.Endpoint),
			Peers:     make(map[string]catalog.Peer),
		},
	}
	for i := range 4 {
		f.endpoint(fmt.Sprintf("e%d", i), "engines")
	}
	for i := range 2 {
		f.endpoint(fmt.Sprintf("p%d", i), "plain")
	}
	for i := range n {
		f.add(i)
	}
	for _, n := range f.nodes {
		n.learn(f.snap)
	}
	return f
}

// learn gives the instance a snapshot and lets its server accept sessions.
func (n *node) learn(snap *catalog.Snapshot) {
	n.scheduler.Update(snap)
	n.client.Update(snap)
	close(n.known)
}

func model() *batch.Model {
	return &batch.Model{
		Slots:            4,
		Capacity:         100_000,
		StepsPerPass:     10,
		Step:             time.Millisecond,
		PrefillPerSecond: 1e6,
	}
}

func (f *fleet) endpoint(name, service string) {
	f.snap.Endpoints[name] = catalog.Endpoint{
		Instance: name,
		Service:  service,
		Address:  name + ":1",
		Slots:    4,
	}
}

// add starts instance i, which doesn't know the endpoints until learn is called.
func (f *fleet) add(i int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	n := &node{
		number: i,
		self: catalog.Peer{
			ID:       fmt.Sprintf("n%d", i),
			Address:  l.Addr().String(),
			Capacity: 400,
		},
		rpc:     grpc.NewServer(),
		known:   make(chan struct{}),
		closing: make(chan struct{}),
		listener: &resettable{
			Listener: l,
		},
	}
	n.now = func() time.Time { return steady.Now().Add(time.Duration(f.advance.Load())) }
	n.scheduler = pool.NewScheduler(pool.Settings{
		Self: n.self.ID,
		Retries: pool.Budget{
			Ratio:  0.2,
			Extra:  16,
			Window: 10 * time.Second,
		},
		Now: n.now,
	}, logr.Discard())
	conns := peer.New(nil)
	n.client = pool.NewClient(n.self, n.scheduler, &cutDialer{
		Dialer: conns,
		cut: func(address string) bool {
			cut := f.cut.Load()
			return cut != nil && (*cut)(n, address)
		},
	}, logr.Discard())
	poolpb.RegisterPoolServer(n.rpc, pool.NewServer(n.scheduler, n.known, n.closing))
	ctx, cancel := context.WithCancel(context.Background())
	go n.rpc.Serve(n.listener)
	go n.scheduler.Run(ctx)
	go n.client.Run(ctx)
	n.stop = sync.OnceFunc(func() {
		cancel()
		n.rpc.Stop()
		conns.Close()
	})
	f.t.Cleanup(n.stop)
	// Instances may be reading the snapshot that they have, so a copy is changed.
	snap := *f.snap
	snap.Peers = maps.Clone(f.snap.Peers)
	snap.Peers[n.self.ID] = n.self
	f.snap = &snap
	f.nodes = append(f.nodes, n)
}

func request(id string) pool.PlacementRequest {
	return pool.PlacementRequest{
		ID:       id,
		Service:  "engines",
		Prompt:   1000,
		Output:   100,
		Target:   300 * time.Millisecond,
		Gap:      250 * time.Millisecond,
		Deadline: 5 * time.Second,
	}
}

// owner places requests at all instances except those in skip until one instance decides on all of
// them, and returns that one.
func (f *fleet) owner(skip ...string) *node {
	f.t.Helper()
	for round := range 200 {
		by := make(map[string]int)
		for i, n := range f.nodes {
			if slices.Contains(skip, n.self.ID) {
				continue
			}
			id := fmt.Sprintf("probe-%s-%d-%d", skip, round, i)
			g, err := n.client.Place(f.t.Context(), request(id))
			if err != nil {
				f.t.Fatal(err)
			}
			f.firsts++
			by[g.DecidedBy]++
			n.client.End(id, "engines", pool.Served, "")
		}
		for _, n := range f.nodes {
			if len(by) == 1 && by[n.self.ID] > 0 && !slices.Contains(skip, n.self.ID) {
				return n
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatal("instances don't agree on an owner")
	return nil
}

func (n *node) place(t *testing.T, a pool.PlacementRequest) pool.Grant {
	t.Helper()
	g, err := n.client.Place(t.Context(), a)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// TestOwnerFailover guards against a pool that has several owners, or no owner for long, after its
// owner has stopped or was killed.
func TestOwnerFailover(t *testing.T) {
	for _, row := range []struct {
		name string
		end  func(n *node)
	}{
		{"stops", func(n *node) { close(n.closing) }},
		{"killed", func(n *node) { n.rpc.Stop() }},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 4)
			first := f.owner()
			row.end(first)
			ended := time.Now()
			second := f.owner(first.self.ID)
			is.True(second != first)
			is.True(time.Since(ended) < 300*time.Millisecond)
		})
	}
}

// TestTwoOwnersStop guards against a pool without an owner after the owner and its standby have
// stopped.
func TestTwoOwnersStop(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 5)
	first := f.owner()
	close(first.closing)
	second := f.owner(first.self.ID)
	close(second.closing)
	time.Sleep(50 * time.Millisecond)
	by := make(map[string]int)
	for round := range 100 {
		clear(by)
		for i, n := range f.nodes {
			if n == first || n == second {
				continue
			}
			id := fmt.Sprintf("third-%d-%d", round, i)
			by[n.place(t, request(id)).DecidedBy]++
			n.client.End(id, "engines", pool.Served, "")
		}
		if len(by) == 1 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(len(by), 1)
	is.Equal(by[first.self.ID]+by[second.self.ID], 0)
}

// TestStandbyKnowsAttempts guards against a new owner that does not know what runs on the engines
// and places more than they hold.
func TestStandbyKnowsAttempts(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	first := f.owner()
	var entry *node
	for _, n := range f.nodes {
		if n != first {
			entry = n
		}
	}
	// Four engines with four slots each have room for one more.
	for i := range 15 {
		entry.place(t, request(fmt.Sprint("r", i)))
	}
	close(first.closing)
	time.Sleep(20 * time.Millisecond)
	entry.place(t, request("last"))
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := entry.client.Place(ctx, pool.PlacementRequest{ID: "over", Service: "engines", Prompt: 1000, Target: time.Second * 3, Deadline: 5 * time.Second})
	is.True(err != nil) // all slots are taken
}

// retryPlaced reports whether a retry is placed on an endpoint of a service.
func (n *node) retryPlaced(t *testing.T, id, service string) bool {
	t.Helper()
	a := request(id)
	a.Service = service
	a.Retry = true
	_, err := n.client.Place(t.Context(), a)
	var r *pool.Refusal
	if err != nil && !errors.As(err, &r) {
		t.Fatal(err)
	}
	if err == nil {
		n.client.End(id, service, pool.Served, "")
	}
	return err == nil
}

// retryEverywhere sends 30 retries to a service through each instance, and returns how many are
// placed.
func (f *fleet) retryEverywhere(t *testing.T, service string) int {
	t.Helper()
	granted := 0
	for i, n := range f.nodes {
		for k := range 30 {
			if n.retryPlaced(t, fmt.Sprintf("again-%d-%d", i, k), service) {
				granted++
			}
		}
	}
	return granted
}

// TestRetryBudget guards against more retries than the budget allows, both with an owner and when
// each instance places by itself.
func TestRetryBudget(t *testing.T) {
	t.Run("one owner", func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4)
		f.owner()
		got := f.retryEverywhere(t, "engines")
		is.True(got > 0)
		is.True(got <= 16)
	})
	t.Run("no owner", func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4)
		for _, n := range f.nodes {
			n.rpc.Stop()
		}
		time.Sleep(20 * time.Millisecond)
		is.True(f.retryEverywhere(t, "engines") <= 16)
	})
}

// TestEjectionNeedsTwoInstances guards against an endpoint that is ejected for all instances by the
// reports of one, and against an instance that still uses an endpoint after its own requests have
// failed there.
func TestEjectionNeedsTwoInstances(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	// Attempts that f.owner placed occupy the first engines until the owner has received the
	// reports of their ends.
	for owner := f.owner(); owner.scheduler.Stats()["engines"].Placed > 0; {
		time.Sleep(time.Millisecond)
	}
	fail := func(n *node, i int) {
		// The attempt is reported as failed at e0, wherever it was placed.
		id := fmt.Sprintf("%s-%d", n.self.ID, i)
		n.place(t, request(id))
		n.client.End(id, "engines", pool.Unreachable, "e0")
	}
	uses := func(n *node, prefix string) bool {
		used := false
		for i := range 8 {
			id := fmt.Sprintf("%s-%s-%d", prefix, n.self.ID, i)
			used = n.place(t, request(id)).Instance == "e0" || used
			defer n.client.End(id, "engines", pool.Abandoned, "")
		}
		return used
	}
	is.True(uses(f.nodes[1], "before"))
	fail(f.nodes[0], 0)
	fail(f.nodes[0], 1)
	is.True(!uses(f.nodes[0], "own"))
	is.True(uses(f.nodes[1], "other"))
	fail(f.nodes[2], 0)
	time.Sleep(20 * time.Millisecond)
	is.True(!uses(f.nodes[1], "all"))
}

// TestLeavingKnownToEntry guards against placements on a leaving endpoint when only the entry
// instance knows that it leaves.
func TestLeavingKnownToEntry(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	owner := f.owner()
	for _, n := range f.nodes {
		if n == owner {
			continue
		}
		known := *f.snap
		known.Departed = map[string]time.Time{"e0": time.Now()}
		n.client.Update(&known)
		for i := range 12 {
			g := n.place(t, request(fmt.Sprintf("%s-%d", n.self.ID, i)))
			is.True(g.Instance != "e0")
			n.client.End(fmt.Sprintf("%s-%d", n.self.ID, i), "engines", pool.Served, "")
		}
	}
}

// TestPlainIsLocal guards against placements in a pool without engines that are made by another
// instance.
func TestPlainIsLocal(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	for _, n := range f.nodes {
		a := request("plain-" + n.self.ID)
		a.Service = "plain"
		is.Equal(n.place(t, a).DecidedBy, n.self.ID)
	}
}
