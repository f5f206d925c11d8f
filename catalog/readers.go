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
// how many of them come before this one.
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

// The measures of reading the store because nobody else tells enough. When many
// instances do so at once, those that come first in the order find out first, and the
// others can follow them.
const (
	// atOnce is how many of the order read at once.
	atOnce = 8
	// patienceEach is how much longer each of the others waits for somebody to
	// follow: 1.2 s in all with 90 instances, well below the two seconds in which
	// changes must be in force.
	patienceEach = 15 * time.Millisecond
)

// patience returns how long the instance at a place of the order waits for somebody
// to follow before it reads the store itself.
func patience(at int) time.Duration {
	return time.Duration(max(at+1-atOnce, 0)) * patienceEach
}

// shouldRead states whether this instance reads the store: as one of the first,
// for those that follow it, or because nobody else told it enough.
func (c *Catalog) shouldRead() bool {
	_, at := c.order()
	if at < c.settings.Readers {
		return true
	}
	if c.heard.within(c.fresh()) {
		c.alone.reset()
		return c.followers.Load() > 0
	}
	if _, waits := c.alone.since(); !waits {
		c.alone.mark(time.Now())
	}
	return !c.alone.within(patience(at))
}

// waits states whether a feed is not read while the store can't be reached: one feed
// is enough to see that it is back, but for the first readers, as the store may be
// down in parts.
func (c *Catalog) waits(f Feed) bool {
	return f != Configurations && c.failing.Load()&(1<<Configurations) != 0 && c.hasCompany()
}

// companyWithin is how recently another instance must have answered for this one to
// rely on hearing from it that the store is back: some tries to follow somebody.
const companyWithin = 2 * time.Second

// hasCompany states whether this instance would hear from others that the store is
// back: it is not among the first readers, and others answer it.
func (c *Catalog) hasCompany() bool {
	return c.company.within(companyWithin) && !c.first()
}

// shouldFollow states whether this instance follows another one.
func (c *Catalog) shouldFollow() bool {
	if !c.read.within(c.fresh()) || c.failing.Load() != 0 {
		return true
	}
	return !c.first() && c.followers.Load() == 0
}
