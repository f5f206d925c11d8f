// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog_test

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"

	"github.com/linkmast/linkmast/catalog"
)

// pipeBytes is the buffer size of each in-memory connection.
const pipeBytes = 64 << 10

// memoryNet is an in-memory network, which allows tests with several instances to run in
// virtual time.
type memoryNet struct {
	mu        sync.Mutex
	listeners map[string]*bufconn.Listener
}

// newMemoryNet returns a network without listeners.
func newMemoryNet() *memoryNet {
	return &memoryNet{
		listeners: make(map[string]*bufconn.Listener),
	}
}

// listen opens a listener at an address and replaces an earlier one.
func (n *memoryNet) listen(address string) *bufconn.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := bufconn.Listen(pipeBytes)
	n.listeners[address] = l
	return l
}

// dial opens a connection to an address.
func (n *memoryNet) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errDown
	}
	return l.DialContext(ctx)
}

// start starts an instance at its address.
func (n *memoryNet) start(t *testing.T, fake *fakeStore, self catalog.Peer, l *bufconn.Listener) *instance {
	t.Helper()
	d := newMemoryDialer(n)
	return startInstanceWith(t, fake, catalog.Settings{
		Self: self,
	}, l, d, d.close)
}

// memoryDialer manages the connections of one instance. It implements catalog.Dialer.
type memoryDialer struct {
	net *memoryNet

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// newMemoryDialer returns a dialer without connections.
func newMemoryDialer(n *memoryNet) *memoryDialer {
	return &memoryDialer{
		net:   n,
		conns: make(map[string]*grpc.ClientConn),
	}
}

// Conn implements catalog.Dialer.
func (d *memoryDialer) Conn(address string) (*grpc.ClientConn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.conns[address]; c != nil {
		return c, nil
	}
	c, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithContextDialer(d.net.dial),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  50 * time.Millisecond,
				Multiplier: 1.6,
				MaxDelay:   time.Second,
			},
			MinConnectTimeout: 500 * time.Millisecond,
		}))
	if err == nil {
		d.conns[address] = c
	}
	return c, err
}

// Disconnect implements catalog.Dialer.
func (d *memoryDialer) Disconnect(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.conns[address]; c != nil {
		c.Close()
		delete(d.conns, address)
	}
}

// close closes all connections.
func (d *memoryDialer) close() {
	d.mu.Lock()
	addresses := slices.Collect(maps.Keys(d.conns))
	d.mu.Unlock()
	for _, address := range addresses {
		d.Disconnect(address)
	}
}

// virtualGroup runs a test in virtual time with n instances that start together and whose
// entries are in the store. slow is the delay of each page.
func virtualGroup(t *testing.T, n int, slow time.Duration, run func(t *testing.T, net *memoryNet, fake *fakeStore, all []*instance)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		net := newMemoryNet()
		listeners := make([]*bufconn.Listener, n)
		fake := newFakeStore()
		fake.put(catalog.Configurations, version(1))
		fake.put(catalog.Endpoints, endpoint("e1", false))
		selves := make([]catalog.Peer, n)
		for i := range n {
			address := fmt.Sprint("n", i, ":1")
			listeners[i] = net.listen(address)
			selves[i] = catalog.Peer{
				ID:       fmt.Sprint("n", i),
				Address:  address,
				Capacity: 400,
			}
			fake.put(catalog.Peers, &catalog.PeerChange{
				Peer: selves[i],
			})
		}
		fake.setPageDelay(slow)
		all := make([]*instance, n)
		for i, self := range selves {
			all[i] = net.start(t, fake, self, listeners[i])
		}
		for _, x := range all {
			await(t, "snapshot", func() bool { return x.Snapshot() != nil })
		}
		run(t, net, fake, all)
	})
}
