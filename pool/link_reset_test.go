// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool_test

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/pool"
)

// resettable is a listener whose accepted connections can be reset.
type resettable struct {
	net.Listener

	mu    sync.Mutex
	conns []net.Conn
}

// Accept implements net.Listener.
func (r *resettable) Accept() (net.Conn, error) {
	c, err := r.Listener.Accept()
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, c)
	return c, nil
}

// reset resets all accepted connections.
func (r *resettable) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		// Errors are ignored, as the connection may have ended already.
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	r.conns = nil
}

// reset resets all connections between the instances.
func (f *fleet) reset() {
	for _, n := range f.nodes {
		n.listener.reset()
	}
}

// longOpen is how long sessions are open before a reset: longer than the pause between two
// attempts to connect.
const longOpen = 400 * time.Millisecond

// TestOwnerStaysAfterReset checks that after a reset of all connections between the instances
// the same owner decides, since no instance has ended.
func TestOwnerStaysAfterReset(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 5)
	owner := f.owner()
	time.Sleep(longOpen)
	f.reset()
	by := make(map[string]int)
	for round := range 40 {
		time.Sleep(10 * time.Millisecond)
		for i, n := range f.nodes {
			id := fmt.Sprintf("after-%d-%d", round, i)
			by[n.place(t, request(id)).DecidedBy]++
			n.client.End(id, "engines", pool.Served, "")
		}
	}
	is.Equal(by[owner.self.ID], 40*len(f.nodes))
}

// TestAttemptsEndedDuringReset checks that the owner learns which attempts ended while its link
// to the entry instance was reset, as soon as that instance is connected again.
func TestAttemptsEndedDuringReset(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	owner := f.owner()
	entry := f.nodes[0]
	if entry == owner {
		entry = f.nodes[1]
	}
	for owner.scheduler.Stats()["engines"].Placed > 0 {
		time.Sleep(time.Millisecond)
	}
	const attempts, ended = 10, 7
	for i := range attempts {
		entry.place(t, request(fmt.Sprint("cut-", i)))
	}
	time.Sleep(longOpen)
	owner.listener.reset()
	// The link is down for at least a round trip after the reset.
	for i := range ended {
		entry.client.End(fmt.Sprint("cut-", i), "engines", pool.Abandoned, "")
	}
	began := time.Now()
	for owner.scheduler.Stats()["engines"].Placed != attempts-ended && time.Since(began) < time.Second {
		time.Sleep(time.Millisecond)
	}
	is.Equal(owner.scheduler.Stats()["engines"].Placed, attempts-ended)
	time.Sleep(2500 * time.Millisecond)
	is.Equal(owner.scheduler.Stats()["engines"].Placed, attempts-ended)
}

// TestOwnerMigratesSilentStreams checks that the owner orders the entry instances, including
// itself, to migrate their streams when several of them report streams of the same engine as
// silent.
func TestOwnerMigratesSilentStreams(t *testing.T) {
	f := newFleet(t, 0)
	for _, name := range []string{"e1", "e2", "e3"} {
		delete(f.snap.Endpoints, name)
	}
	for i := range 3 {
		f.add(i)
	}
	for _, n := range f.nodes {
		n.learn(f.snap)
	}
	owner := f.owner()
	for owner.scheduler.Stats()["engines"].Placed > 0 {
		time.Sleep(time.Millisecond)
	}
	migrated := make(chan string, 10)
	for i, n := range f.nodes {
		a := request(fmt.Sprint("move-", i))
		a.Gap = 5 * time.Second
		n.place(t, a)
		n.client.FirstEvent(a.ID, "engines")
		n.client.OnMigrate(a.ID, func() { migrated <- a.ID })
	}
	time.Sleep(400 * time.Millisecond)
	for i, n := range f.nodes {
		n.client.ReportSilence(fmt.Sprint("move-", i), "engines", 300*time.Millisecond)
	}
	got := make(map[string]bool)
	for len(got) < len(f.nodes) {
		select {
		case id := <-migrated:
			got[id] = true
		case <-time.After(time.Second):
			t.Fatalf("ordered to migrate only %v", got)
		}
	}
}
