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
	minSettle   = 500 * time.Millisecond
	maxSettle   = 1200 * time.Millisecond
)

// pendingEntries are instances whose entries the store may lack, with when they are next
// written or handed on.
type pendingEntries struct {
	mu        sync.Mutex
	entries   map[string]pendingEntry
	lastAdded time.Time
	// arrived fires when there is a new one.
	arrived *signal
}

// pendingEntry is one of newcomers.
type pendingEntry struct {
	peer Peer
	due  time.Time
}

// newPendingEntries returns none.
func newPendingEntries() pendingEntries {
	return pendingEntries{
		entries: make(map[string]pendingEntry),
		arrived: newSignal(),
	}
}

// add adds instances; those that are there already keep their time.
func (n *pendingEntries) add(started ...Peer) {
	if len(started) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastAdded = steady.Now()
	for _, p := range started {
		if n.entries[p.ID].peer == p {
			continue
		}
		n.entries[p.ID] = pendingEntry{
			peer: p,
			due:  n.lastAdded,
		}
	}
	n.arrived.fire()
}

// all returns all of them.
func (n *pendingEntries) all() []Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]Peer, 0, len(n.entries))
	for _, one := range n.entries {
		out = append(out, one.peer)
	}
	return out
}

// take returns those that are due and don't stand yet, mostAnnounced at most, and forgets
// those that stand.
func (n *pendingEntries) take(stands func(Peer) bool) []Peer {
	now := steady.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []Peer
	for id, one := range n.entries {
		switch {
		case stands(one.peer):
			delete(n.entries, id)
		case !now.Before(one.due) && len(out) < maxAnnounced:
			out = append(out, one.peer)
		}
	}
	return out
}

// count returns how many there are.
func (n *pendingEntries) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.entries)
}

// forget forgets instances that others see to from now on.
func (n *pendingEntries) forget(done []Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range done {
		if n.entries[p.ID].peer == p {
			delete(n.entries, p.ID)
		}
	}
}

// settle waits until no other instance has come for settleQuiet.
func (n *pendingEntries) settle(ctx context.Context) {
	began := steady.Now()
	for ctx.Err() == nil {
		n.mu.Lock()
		quiet := steady.Since(n.lastAdded) >= settleQuiet
		n.mu.Unlock()
		waited := steady.Since(began)
		if waited >= maxSettle || waited >= minSettle && quiet {
			return
		}
		sleep(ctx, settleQuiet/4)
	}
}

// postpone makes instances that others did not see to due again at a moment.
func (n *pendingEntries) postpone(some []Peer, due time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range some {
		if one := n.entries[p.ID]; one.peer == p {
			one.due = due
			n.entries[p.ID] = one
		}
	}
}

// next returns how long it takes until one is due; longer than anything without one.
func (n *pendingEntries) next() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	least := time.Duration(math.MaxInt64)
	now := steady.Now()
	for _, one := range n.entries {
		least = min(least, one.due.Sub(now))
	}
	return max(least, forwardRetryDelay)
}
