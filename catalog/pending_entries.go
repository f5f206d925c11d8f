// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/linkmast/linkmast/internal/steady"
)

// At the first start of all instances, a seed that has read the list of instances waits until
// no entry has been added for settleQuiet, but at least minSettle and at most maxSettle.
const (
	settleQuiet = 250 * time.Millisecond
	minSettle   = 500 * time.Millisecond
	maxSettle   = 1200 * time.Millisecond
)

// pendingEntries holds the entries that the store may lack, by instance ID, with the time of
// the next attempt to write or forward them.
type pendingEntries struct {
	mu        sync.Mutex
	entries   map[string]pendingEntry
	lastAdded time.Time
	// arrived fires when add is called.
	arrived *signal
}

// pendingEntry is an entry to write or forward at the due time.
type pendingEntry struct {
	peer Peer
	due  time.Time
}

// newPendingEntries returns an empty set.
func newPendingEntries() pendingEntries {
	return pendingEntries{
		entries: make(map[string]pendingEntry),
		arrived: newSignal(),
	}
}

// add adds entries that are due at once. It keeps the due time of entries that are already
// present.
func (s *pendingEntries) add(started ...Peer) {
	if len(started) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastAdded = steady.Now()
	for _, p := range started {
		if s.entries[p.ID].peer == p {
			continue
		}
		s.entries[p.ID] = pendingEntry{
			peer: p,
			due:  s.lastAdded,
		}
	}
	s.arrived.fire()
}

// all returns all pending entries, in any order.
func (s *pendingEntries) all() []Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Peer, 0, len(s.entries))
	for _, e := range s.entries {
		out = append(out, e.peer)
	}
	return out
}

// take returns up to maxAnnounced entries that are due and that are not in the store according
// to stored. It removes those that are in the store.
func (s *pendingEntries) take(stored func(Peer) bool) []Peer {
	now := steady.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Peer
	for id, e := range s.entries {
		switch {
		case stored(e.peer):
			delete(s.entries, id)
		case !now.Before(e.due) && len(out) < maxAnnounced:
			out = append(out, e.peer)
		}
	}
	return out
}

// count returns the number of pending entries.
func (s *pendingEntries) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}

// forget removes entries that have been written or forwarded, unless they have changed since.
func (s *pendingEntries) forget(done []Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range done {
		if s.entries[p.ID].peer == p {
			delete(s.entries, p.ID)
		}
	}
}

// settle waits until no entry has been added for settleQuiet, within the limits of minSettle
// and maxSettle.
func (s *pendingEntries) settle(ctx context.Context) {
	began := steady.Now()
	for ctx.Err() == nil {
		s.mu.Lock()
		quiet := steady.Since(s.lastAdded) >= settleQuiet
		s.mu.Unlock()
		waited := steady.Since(began)
		if waited >= maxSettle || waited >= minSettle && quiet {
			return
		}
		sleep(ctx, settleQuiet/4)
	}
}

// postpone sets the due time of entries that could not be written or forwarded.
func (s *pendingEntries) postpone(failed []Peer, due time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range failed {
		if e := s.entries[p.ID]; e.peer == p {
			e.due = due
			s.entries[p.ID] = e
		}
	}
}

// next returns the time until an entry is due, at least forwardRetryDelay. Without entries it
// returns the maximum duration.
func (s *pendingEntries) next() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	least := time.Duration(math.MaxInt64)
	now := steady.Now()
	for _, e := range s.entries {
		least = min(least, e.due.Sub(now))
	}
	return max(least, forwardRetryDelay)
}
