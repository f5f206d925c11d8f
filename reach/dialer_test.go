// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package reach_test

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"google.golang.org/grpc"

	"github.com/linkmast/linkmast/internal/tcp"
	"github.com/linkmast/linkmast/internal/tcp/tcptest"
	"github.com/linkmast/linkmast/peer"
	"github.com/linkmast/linkmast/reach"
	"github.com/linkmast/linkmast/reach/reachpb"
)

// instance is an instance with a dialer and a server.
type instance struct {
	peer     reach.Peer
	links    *tcptest.Dialer
	dialer   *reach.Dialer
	server   *reach.Server
	rpc      *grpc.Server
	stopping chan struct{}

	mu      sync.Mutex
	hanging []string
}

// fleet is a number of instances before echo endpoints.
type fleet struct {
	t         testing.TB
	instances []*instance
	endpoints []string
}

// newFleet starts instances, in failure domains of two, before three endpoints.
func newFleet(t testing.TB, n int) *fleet {
	t.Helper()
	f := &fleet{
		t: t,
	}
	for range 3 {
		f.endpoints = append(f.endpoints, startEcho(t).Addr().String())
	}
	for i := range n {
		f.start(i)
	}
	return f
}

// startEcho starts an endpoint that sends back what it receives, until the test ends.
func startEcho(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	return l
}

// start starts instance i.
func (f *fleet) start(i int) {
	f.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	in := &instance{
		peer: reach.Peer{
			ID:            string(rune('a' + i)),
			Address:       l.Addr().String(),
			FailureDomain: string(rune('A' + i/2)),
		},
		links:    new(tcptest.Dialer),
		rpc:      grpc.NewServer(),
		stopping: make(chan struct{}),
	}
	conns := peer.New(nil)
	in.dialer = reach.NewDialer(reach.Settings{
		Self:          in.peer.ID,
		FailureDomain: in.peer.FailureDomain,
		Now:           time.Now,
	}, reach.Parts{
		Dial:      in.links.DialContext,
		Peers:     f.peers,
		Connector: conns,
		ServiceOf: func(string) string { return "service" },
		OnHang: func(address string) {
			in.mu.Lock()
			defer in.mu.Unlock()
			in.hanging = append(in.hanging, address)
		},
		Log: logr.Discard(),
	})
	in.server = reach.NewServer(in.dialer, f, in.stopping)
	reachpb.RegisterForwardingServer(in.rpc, in.server)
	go in.rpc.Serve(l)
	f.t.Cleanup(func() {
		in.rpc.Stop()
		conns.Close()
	})
	f.instances = append(f.instances, in)
}

// peers returns all instances.
func (f *fleet) peers() []reach.Peer {
	var out []reach.Peer
	for _, in := range f.instances {
		out = append(out, in.peer)
	}
	return out
}

// Known implements reach.Endpoints.
func (f *fleet) Known(address string) bool {
	for _, e := range f.endpoints {
		if e == address {
			return true
		}
	}
	return false
}

// Others implements reach.Endpoints.
func (f *fleet) Others(address string, n int) (service string, others []string) {
	for _, e := range f.endpoints {
		if e != address && len(others) < n {
			others = append(others, e)
		}
	}
	return "service", others
}

// dial dials endpoint e from the first instance within half a second.
func (f *fleet) dial(e int) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	return f.instances[0].dialer.DialContext(ctx, "tcp", f.endpoints[e])
}

// assertEcho checks that a connection carries data in both directions, and closes it.
func assertEcho(t *testing.T, c net.Conn) {
	t.Helper()
	is := is.New(t)
	defer c.Close()
	data := make([]byte, 100_000)
	for i := range data {
		data[i] = byte(i)
	}
	go c.Write(data)
	got := make([]byte, len(data))
	_, err := io.ReadFull(c, got)
	is.NoErr(err)
	is.Equal(got, data)
}

// via returns the instance that forwards a connection; empty for a direct one.
func via(c net.Conn) string {
	if f, ok := c.(*reach.Forwarded); ok {
		return f.Via()
	}
	return ""
}

func TestDirectWithoutFault(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	c, err := f.dial(0)
	is.NoErr(err)
	is.Equal(via(c), "")
	assertEcho(t, c)
	is.Equal(f.instances[0].dialer.Stats(), reach.Stats{})
}

func TestForwardedWhilePartitioned(t *testing.T) {
	for name, p := range map[string]tcptest.Partition{
		"refused": tcptest.RefuseNew,
		"reset":   tcptest.ResetAll,
		"dropped": tcptest.Drop,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 3)
			f.instances[0].links.Set(p)
			for e := range f.endpoints {
				c, err := f.dial(e)
				is.NoErr(err)
				is.True(via(c) != "")
				assertEcho(t, c)
			}
			is.True(f.instances[0].dialer.Stats().Cut)
			f.instances[0].links.Set(tcptest.Connected)
			time.Sleep(300 * time.Millisecond) // the next direct dial is due
			c, err := f.dial(0)
			is.NoErr(err)
			assertEcho(t, c)
			is.True(!f.instances[0].dialer.Stats().Cut)
		})
	}
}

// TestIdleForwardedUnusedAfterPartition checks that a kept connection through another instance is
// given up once the direct path is back.
func TestIdleForwardedUnusedAfterPartition(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	f.instances[0].links.Set(tcptest.RefuseNew)
	c, err := f.dial(0)
	is.NoErr(err)
	defer c.Close()
	is.True(c.(*reach.Forwarded).Quiet())
	f.instances[0].links.Set(tcptest.Connected)
	time.Sleep(300 * time.Millisecond) // the next direct dial is due
	direct, err := f.dial(0)
	is.NoErr(err)
	direct.Close()
	time.Sleep(50 * time.Millisecond) // the direct dial ends, if a forwarded one was faster
	is.True(!c.(*reach.Forwarded).Quiet())
}

// TestDeadEndpointIsUnreachable checks that a dead endpoint is not taken for a broken path.
func TestDeadEndpointIsUnreachable(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	dead := startEcho(t)
	f.endpoints = append(f.endpoints, dead.Addr().String())
	dead.Close()
	_, err := f.dial(3)
	is.True(errors.Is(err, syscall.ECONNREFUSED))
	is.True(!errors.Is(err, tcp.ErrNoPath))
	is.Equal(f.instances[0].dialer.Stats().Broken, 0)
}

// TestPeersPartitionedAsWell checks that a dial goes on to other instances if the first ones are cut off
// too, as half of a fleet may be.
func TestPeersPartitionedAsWell(t *testing.T) {
	for _, p := range []tcptest.Partition{tcptest.RefuseNew, tcptest.Drop} {
		is := is.New(t)
		f := newFleet(t, 6)
		for _, in := range f.instances[:3] {
			in.links.Set(p)
		}
		for e := range f.endpoints {
			c, err := f.dial(e)
			is.NoErr(err)
			is.True(via(c) != "b" && via(c) != "c")
			assertEcho(t, c)
		}
	}
}

// TestDeadEndpointBesidePartitionedInstance checks that an instance without paths doesn't confirm
// that an endpoint is dead.
func TestDeadEndpointBesidePartitionedInstance(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	for _, in := range f.instances {
		in.links.Set(tcptest.RefuseNew)
	}
	_, err := f.dial(0)
	is.True(errors.Is(err, tcp.ErrNoPath))
	is.True(!tcp.Inconclusive(err)) // the connection was refused
	for _, in := range f.instances {
		in.links.Set(tcptest.Drop)
	}
	_, err = f.dial(1)
	is.True(tcp.Inconclusive(err))
}

// TestDialsWhileAllEndpointsAreDown checks that the requests of one instance don't multiply at others
// while no endpoint accepts connections.
func TestDialsWhileAllEndpointsAreDown(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 4)
	for i := range f.endpoints {
		dead := startEcho(t)
		f.endpoints[i] = dead.Addr().String()
		dead.Close()
	}
	const dials = 50
	for i := range dials {
		_, err := f.dial(i % len(f.endpoints))
		is.True(err != nil)
	}
	made := 0
	for _, in := range f.instances[1:] {
		made += in.links.Dials()
	}
	is.Equal(f.instances[0].links.Dials(), dials)
	is.True(made < dials)
}

func TestNoOtherInstance(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	f.instances[0].links.Set(tcptest.RefuseNew)
	_, err := f.dial(0)
	is.True(errors.Is(err, syscall.ECONNREFUSED))
}

// TestSkipsStoppingAndDeadInstances checks that a dial tries others.
func TestSkipsStoppingAndDeadInstances(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 4)
	f.instances[0].links.Set(tcptest.RefuseNew)
	close(f.instances[1].stopping)
	f.instances[2].rpc.Stop()
	for range 5 {
		c, err := f.dial(0)
		is.NoErr(err)
		is.Equal(via(c), "d")
		assertEcho(t, c)
	}
}

// TestForwardsOnlyToKnownEndpoints checks that an instance is no open proxy.
func TestForwardsOnlyToKnownEndpoints(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	other := startEcho(t)
	f.instances[0].links.Set(tcptest.RefuseNew)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := f.instances[0].dialer.DialContext(ctx, "tcp", other.Addr().String())
	is.True(err != nil)
	is.Equal(f.instances[1].server.Served(), int64(0))
}

// TestStopAnnounced checks that connections through a stopping instance are not used for new
// requests, and that the instance waits for them.
func TestStopAnnounced(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	f.instances[0].links.Set(tcptest.RefuseNew)
	c, err := f.dial(0)
	is.NoErr(err)
	close(f.instances[1].stopping)
	for end := time.Now().Add(time.Second); c.(*reach.Forwarded).Quiet() && time.Now().Before(end); time.Sleep(time.Millisecond) {
		continue
	}
	is.True(!c.(*reach.Forwarded).Quiet())
	is.Equal(f.instances[1].server.Active(), int64(1))
	assertEcho(t, c)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	f.instances[1].server.Wait(ctx)
	is.NoErr(ctx.Err())
}

// TestHangReported checks that hanging connections are reported, and refused ones are not.
func TestHangReported(t *testing.T) {
	for name, row := range map[string]struct {
		partition tcptest.Partition
		reported  bool
	}{
		"dropped": {tcptest.Drop, true},
		"refused": {tcptest.RefuseNew, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2)
			f.instances[0].links.Set(row.partition)
			c, err := f.dial(0)
			is.New(t).NoErr(err)
			c.Close()
			time.Sleep(500 * time.Millisecond) // the direct dial ends
			in := f.instances[0]
			in.mu.Lock()
			defer in.mu.Unlock()
			is.New(t).Equal(len(in.hanging) > 0, row.reported)
		})
	}
}

// TestLoadSpread checks that an instance without paths spreads its connections.
func TestLoadSpread(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6)
	f.instances[0].links.Set(tcptest.RefuseNew)
	for range 60 {
		c, err := f.dial(0)
		is.NoErr(err)
		defer c.Close()
	}
	used := 0
	for _, in := range f.instances[1:] {
		if in.server.Active() > 0 {
			used++
		}
		is.True(in.server.Active() <= 40)
	}
	is.True(used >= 2)
}

// BenchmarkDirect and BenchmarkForwarded compare one exchange of a kilobyte.
func BenchmarkDirect(b *testing.B) {
	benchmarkExchange(b, tcptest.Connected)
}

// BenchmarkForwarded is the same through another instance.
func BenchmarkForwarded(b *testing.B) {
	benchmarkExchange(b, tcptest.RefuseNew)
}

func benchmarkExchange(b *testing.B, p tcptest.Partition) {
	f := newFleet(b, 2)
	f.instances[0].links.Set(p)
	c, err := f.dial(0)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	data := make([]byte, 1<<10)
	for b.Loop() {
		if _, err := c.Write(data); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(c, data); err != nil {
			b.Fatal(err)
		}
	}
}
