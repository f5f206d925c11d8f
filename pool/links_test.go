// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool_test

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"google.golang.org/grpc"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/route"
)

// failingDialer opens no connection and keeps the addresses that it was asked for.
type failingDialer struct {
	mu    sync.Mutex
	asked map[string]bool
}

// Conn implements pool.Dialer.
func (d *failingDialer) Conn(address string) (*grpc.ClientConn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asked[address] = true
	return nil, errors.New("no connection")
}

// tried returns how many instances were tried.
func (d *failingDialer) tried() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.asked)
}

// peers returns a snapshot with a pool of engines and a number of other instances.
func peers(n int) *catalog.Snapshot {
	snap := &catalog.Snapshot{
		Table: route.New(1, nil, []route.Service{
			{Name: "engines", Engine: model()},
		}, nil, false, route.Limits{}),
		Peers: make(map[string]catalog.Peer),
	}
	for i := range n {
		id := fmt.Sprint("n", i)
		snap.Peers[id] = catalog.Peer{
			ID:       id,
			Address:  id + ":1",
			Capacity: 400,
		}
	}
	return snap
}

// TestTriesFewAtOnce looks that an instance that starts among many does not try to
// reach them all, and goes on when the first ones can't be reached.
func TestTriesFewAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		dialer := &failingDialer{
			asked: make(map[string]bool),
		}
		self := catalog.Peer{
			ID:       "weak",
			Capacity: 1,
		}
		c := pool.NewClient(self, pool.NewScheduler(pool.Settings{
			Self: self.ID,
		}, logr.Discard()), dialer, logr.Discard())
		_, stop := background(t, c.Run)
		defer stop()
		c.Update(peers(60))
		time.Sleep(100 * time.Millisecond)
		is.Equal(dialer.tried(), 3)
		time.Sleep(time.Second)
		is.True(dialer.tried() > 9)
	})
}
