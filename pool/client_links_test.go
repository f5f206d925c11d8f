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

// failingDialer fails to open connections and records the addresses it was asked for.
type failingDialer struct {
	mu        sync.Mutex
	addresses map[string]bool
}

// Conn implements pool.Dialer.
func (d *failingDialer) Conn(address string) (*grpc.ClientConn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addresses[address] = true
	return nil, errors.New("no connection")
}

// dialled returns the number of instances that were dialled.
func (d *failingDialer) dialled() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.addresses)
}

// peerSnapshot returns a snapshot with one service of engines and n other instances.
func peerSnapshot(n int) *catalog.Snapshot {
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

// TestDialsFewInstances guards against an instance that dials all others when it starts, or that
// does not go on to others when the first ones are unreachable.
func TestDialsFewInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		dialer := &failingDialer{
			addresses: make(map[string]bool),
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
		c.Update(peerSnapshot(60))
		time.Sleep(100 * time.Millisecond)
		is.Equal(dialer.dialled(), 3)
		time.Sleep(time.Second)
		is.True(dialer.dialled() > 9)
	})
}

// TestBudgetWithoutOwner guards against an instance that uses more than its share of the retry
// budget when it reaches no owner, since others may not reach one either.
func TestBudgetWithoutOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		snap := peerSnapshot(60)
		snap.Endpoints = map[string]catalog.Endpoint{
			"e0": {
				Instance: "e0",
				Service:  "engines",
				Address:  "e0:1",
				Slots:    100,
			},
		}
		self := catalog.Peer{
			ID:       "weak",
			Capacity: 1,
		}
		s := pool.NewScheduler(pool.Settings{
			Self: self.ID,
			Retries: pool.Budget{
				Extra:  320,
				Window: 10 * time.Second,
			},
		}, logr.Discard())
		s.Update(snap)
		c := pool.NewClient(self, s, &failingDialer{
			addresses: make(map[string]bool),
		}, logr.Discard())
		ctx, stop := background(t, c.Run)
		defer stop()
		c.Update(snap)
		retry := func(name string) int {
			placed := 0
			for i := range 20 {
				a := prompt(fmt.Sprint(name, i), 100, time.Second)
				a.Retry = true
				if _, err := c.Place(ctx, a); err == nil {
					placed++
				}
			}
			return placed
		}
		time.Sleep(10 * time.Millisecond)
		is.Equal(retry("started"), 0) // an earlier process may have used the share
		time.Sleep(10 * time.Second)
		is.Equal(retry("running"), 3) // 320 * 0.75 for all 61 instances
		is.Equal(retry("again"), 0)
	})
}

// TestOwnerNotReady guards against a session that opens only at the next try, rather than as soon
// as the owner knows the endpoints.
func TestOwnerNotReady(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 0)
	f.add(0)
	f.add(1)
	first, second := f.nodes[0], f.nodes[1]
	// Either instance may own the pool, so both become ready at the same time.
	first.client.Update(f.snap)
	second.client.Update(f.snap)
	time.Sleep(50 * time.Millisecond)
	first.scheduler.Update(f.snap)
	second.scheduler.Update(f.snap)
	close(first.known)
	close(second.known)
	ready := time.Now()
	f.owner()
	is.True(time.Since(ready) < 200*time.Millisecond) // another try would take 250 ms or more
}
