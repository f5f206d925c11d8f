// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool_test

import (
	"context"
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

// deadEnd opens no connection and keeps whom it was asked for.
type deadEnd struct {
	mu    sync.Mutex
	asked map[string]bool
}

// Conn implements pool.Dialer.
func (d *deadEnd) Conn(address string) (*grpc.ClientConn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asked[address] = true
	return nil, errors.New("no connection")
}

// tried returns how many instances were tried.
func (d *deadEnd) tried() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.asked)
}

// TestTriesFewAtOnce looks that an instance that starts among many does not try to
// reach them all, and goes on when the first ones can't be reached.
func TestTriesFewAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		snap := &catalog.Snapshot{
			Table: route.New(1, nil, []route.Service{
				{Name: "engines", Engine: model()},
			}, nil, false, route.Limits{}),
			Peers: make(map[string]catalog.Peer),
		}
		for i := range 60 {
			id := fmt.Sprint("n", i)
			snap.Peers[id] = catalog.Peer{
				ID:       id,
				Address:  id + ":1",
				Capacity: 400,
			}
		}
		dialer := &deadEnd{
			asked: make(map[string]bool),
		}
		self := catalog.Peer{
			ID:       "weak",
			Capacity: 1,
		}
		c := pool.NewClient(self, pool.NewScheduler(pool.Settings{
			Self: self.ID,
		}, logr.Discard()), dialer, logr.Discard())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			c.Run(ctx)
			close(done)
		}()
		defer func() {
			cancel()
			<-done
		}()
		c.Update(snap)
		time.Sleep(100 * time.Millisecond)
		is.Equal(dialer.tried(), 3)
		time.Sleep(time.Second)
		is.True(dialer.tried() > 9)
	})
}
