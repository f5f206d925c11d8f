// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"

	"github.com/linkmast/linkmast/catalog"
)

// pipeBytes is the buffer of each connection in memory.
const pipeBytes = 64 << 10

// memoryNet connects instances in memory, so that their tests run in virtual time. It
// implements catalog.Dialer.
type memoryNet struct {
	mu        sync.Mutex
	listeners map[string]*bufconn.Listener
	conns     map[string]*grpc.ClientConn
}

// dial opens a connection to an address.
func (n *memoryNet) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	return l.DialContext(ctx)
}

// Conn implements catalog.Dialer.
func (n *memoryNet) Conn(address string) (*grpc.ClientConn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.conns[address]; c != nil {
		return c, nil
	}
	c, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithContextDialer(n.dial))
	if err == nil {
		n.conns[address] = c
	}
	return c, err
}

// Forsake implements catalog.Dialer.
func (n *memoryNet) Forsake(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.conns[address]; c != nil {
		c.Close()
		delete(n.conns, address)
	}
}

// close closes all connections.
func (n *memoryNet) close() {
	for address := range n.listeners {
		n.Forsake(address)
	}
}

// virtualGroup runs a test with instances that know each other, in virtual time. They start
// together; a whole read of the store takes as long as given.
func virtualGroup(t *testing.T, n int, slow time.Duration, run func(t *testing.T, fake *fakeStore, all []*instance)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		listeners := make(map[string]*bufconn.Listener, n)
		fake := newFakeStore()
		fake.put(catalog.Configurations, version(1))
		fake.put(catalog.Endpoints, endpoint("e1", false))
		selves := make([]catalog.Peer, n)
		for i := range n {
			address := fmt.Sprint("n", i, ":1")
			listeners[address] = bufconn.Listen(pipeBytes)
			selves[i] = catalog.Peer{
				ID:       fmt.Sprint("n", i),
				Address:  address,
				Capacity: 400,
			}
			fake.put(catalog.Peers, &catalog.PeerChange{
				Peer: selves[i],
			})
		}
		fake.setSlow(slow)
		all := make([]*instance, n)
		for i, self := range selves {
			d := &memoryNet{
				listeners: listeners,
				conns:     make(map[string]*grpc.ClientConn),
			}
			all[i] = startInstanceWith(t, fake, self, listeners[self.Address], d, d.close)
		}
		for _, x := range all {
			await(t, "snapshot", func() bool { return x.Snapshot() != nil })
		}
		run(t, fake, all)
	})
}
