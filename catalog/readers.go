// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"slices"
	"time"

	"github.com/linkmast/linkmast/internal/rendezvous"
)

// lookEvery is how often an instance looks whether it should read the store, or
// follow another one: well below the two seconds in which changes must be in
// force.
const lookEvery = 100 * time.Millisecond

// readersKey is what the order of readers is made from.
const readersKey = "catalog"

// fresh is how long ago a reader's last answer of the store, or a follower's
// last confirmation, may be: two polls and a little.
func (c *Catalog) fresh() time.Duration {
	return 2*c.settings.Poll + c.settings.Poll/2
}

// setFailing notes whether the last read of a feed failed.
func (c *Catalog) setFailing(f Feed, failing bool) {
	bit := int64(1) << f
	if failing {
		c.failing.Or(bit)
		return
	}
	c.failing.And(^bit)
}

// answered returns how long ago the store answered this instance or one that it
// follows; false when it never did.
func (c *Catalog) answered() (time.Duration, bool) {
	read, ok := c.read.since()
	// With a feed that can't be read it is not known what others must know.
	ok = ok && c.failing.Load() == 0
	heard, also := c.heard.since()
	switch {
	case ok && also:
		return min(read, heard), true
	case ok:
		return read, true
	}
	return heard, also
}

// order returns the other instances in the order in which they are followed, and
// this one's place in it, counted from zero.
func (c *Catalog) order() ([]Peer, int) {
	c.mu.Lock()
	all := make([]Peer, 0, len(c.peers)+1)
	for _, p := range c.peers {
		if p.ID != c.settings.Self.ID {
			all = append(all, p)
		}
	}
	c.mu.Unlock()
	all = append(all, c.settings.Self)
	rendezvous.Sort(readersKey, all, func(p Peer) (string, int) { return p.ID, p.Capacity })
	at := slices.IndexFunc(all, func(p Peer) bool { return p.ID == c.settings.Self.ID })
	return slices.Delete(all, at, at+1), at
}

// first states whether this instance is among the first readers.
func (c *Catalog) first() bool {
	_, at := c.order()
	return at < c.settings.Readers
}

// The measures of reading the store because no other instance tells enough. When many
// instances come to this at the same time, those that come first in the order read
// first, and the others can follow them.
const (
	// undelayedReaders is how many instances of the order read without a delay.
	undelayedReaders = 8
	// readDelayStep is how much longer each further instance waits for another one
	// to follow: 1.2 s for the last of 90 instances, well below the two seconds in
	// which changes must be in force.
	readDelayStep = 15 * time.Millisecond
)

// readDelay returns how long the instance at a place of the order, counted from zero,
// waits for another one to follow before it reads the store itself.
func readDelay(at int) time.Duration {
	return time.Duration(max(at+1-undelayedReaders, 0)) * readDelayStep
}

// shouldRead states whether this instance reads the store: as one of the first,
// for those that follow it, or because no other instance has told it enough for the
// delay of its place.
func (c *Catalog) shouldRead() bool {
	_, at := c.order()
	if at < c.settings.Readers {
		c.unheard.reset()
		return true
	}
	if c.heard.within(c.fresh()) {
		c.unheard.reset()
		return c.followers.Load() > 0
	}
	if _, marked := c.unheard.since(); !marked {
		c.unheard.mark(time.Now())
	}
	return !c.unheard.within(readDelay(at))
}

// shouldFollow states whether this instance follows another one.
func (c *Catalog) shouldFollow() bool {
	if !c.read.within(c.fresh()) || c.failing.Load() != 0 {
		return true
	}
	return !c.first() && c.followers.Load() == 0
}
