// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/linkmast/linkmast/internal/steady"
)

// The times in which the first contact waits, at the first start of all, for those that
// start with it: until no other one has asked for settleQuiet, and within the bounds.
const (
	settleQuiet = 250 * time.Millisecond
	settleLeast = 500 * time.Millisecond
	settleMost  = 1200 * time.Millisecond
)

// newcomers are instances whose entries the store may lack, with when they are next
// written or handed on.
type newcomers struct {
	mu   sync.Mutex
	due  map[string]newcomer
	last time.Time
	// arrived fires when there is a new one.
	arrived *kick
}

// newcomer is one of newcomers.
type newcomer struct {
	peer Peer
	due  time.Time
}

// newNewcomers returns none.
func newNewcomers() newcomers {
	return newcomers{
		due:     make(map[string]newcomer),
		arrived: newKick(),
	}
}

// add adds instances; those that are there already keep their time.
func (n *newcomers) add(started ...Peer) {
	if len(started) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.last = steady.Now()
	for _, p := range started {
		if n.due[p.ID].peer == p {
			continue
		}
		n.due[p.ID] = newcomer{
			peer: p,
			due:  n.last,
		}
	}
	n.arrived.fire()
}

// all returns all of them.
func (n *newcomers) all() []Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]Peer, 0, len(n.due))
	for _, one := range n.due {
		out = append(out, one.peer)
	}
	return out
}

// take returns those that are due and don't stand yet, mostAnnounced at most, and forgets
// those that stand.
func (n *newcomers) take(stands func(Peer) bool) []Peer {
	now := steady.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []Peer
	for id, one := range n.due {
		switch {
		case stands(one.peer):
			delete(n.due, id)
		case !now.Before(one.due) && len(out) < mostAnnounced:
			out = append(out, one.peer)
		}
	}
	return out
}

// count returns how many there are.
func (n *newcomers) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.due)
}

// forget forgets instances that others see to from now on.
func (n *newcomers) forget(done []Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range done {
		if n.due[p.ID].peer == p {
			delete(n.due, p.ID)
		}
	}
}

// settle waits until no other instance has come for settleQuiet.
func (n *newcomers) settle(ctx context.Context) {
	began := steady.Now()
	for ctx.Err() == nil {
		n.mu.Lock()
		quiet := steady.Since(n.last) >= settleQuiet
		n.mu.Unlock()
		waited := steady.Since(began)
		if waited >= settleMost || waited >= settleLeast && quiet {
			return
		}
		sleep(ctx, settleQuiet/4)
	}
}

// postpone makes instances that others did not see to due again at a moment.
func (n *newcomers) postpone(some []Peer, due time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range some {
		if one := n.due[p.ID]; one.peer == p {
			one.due = due
			n.due[p.ID] = one
		}
	}
}

// next returns how long it takes until one is due; longer than anything without one.
func (n *newcomers) next() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	least := time.Duration(math.MaxInt64)
	now := steady.Now()
	for _, one := range n.due {
		least = min(least, one.due.Sub(now))
	}
	return max(least, tellRetry)
}
