// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"math"
	"time"

	"github.com/linkmast/linkmast/internal/steady"
)

// roleCheckInterval is how often an instance looks whether it should read the store, or
// follow another one: well below the two seconds in which changes must be in
// force.
const roleCheckInterval = 100 * time.Millisecond

// freshFor is how long ago a reader's last answer of the store, or a follower's
// last confirmation, may be: two polls and a little.
func (c *Catalog) freshFor() time.Duration {
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

// The measures of reading the store because no other instance tells enough. When many
// instances come to this at the same time, those that come first in the order read
// first, and the others can follow them.
const (
	// earlyReaders is how many instances of the order read after the shortest delay,
	// and leastReadDelay is that delay: some round trips between instances, in which
	// those find one to follow that start together.
	earlyReaders = 8
	minReadDelay = 50 * time.Millisecond
	// readDelayStep is after how long twice as many read: 0.78 s for the last of
	// 295 instances, 1.1 s for the last of 1,200, below the two seconds in which
	// changes must be in force. It is some tens of round trips between instances.
	readDelayStep = 150 * time.Millisecond
	// startReadDelay is how much longer an instance waits that has just started and knows
	// nothing yet: those that it was told to follow may be starting, too.
	startReadDelay = 400 * time.Millisecond
)

// readDelay returns how long the instance at a place of the order, counted from zero,
// waits for another one to follow before it reads the store itself: readDelayStep more
// for each doubling of the place beyond firstReaders.
func readDelay(at int) time.Duration {
	doublings := math.Log2(max(float64(at+1)/earlyReaders, 1))
	return minReadDelay + time.Duration(doublings*float64(readDelayStep))
}

// shouldRead states whether this instance reads the store: as one of the first, or
// because no other instance has told it enough for the delay of its place. One that
// reads for that reason goes on while others follow it, until it hears of the store by
// one that comes before it in the order.
func (c *Catalog) shouldRead() bool {
	r := c.topology.Load()
	if r.isReader() {
		c.upstreamLost.reset()
		return true
	}
	if c.upstreamConfirmed.within(c.freshFor()) {
		c.upstreamLost.reset()
		return c.storeAnswered.within(c.freshFor()) && c.followers.count() > 0 && !r.precedes(c.upstreamFreshness.Load().root)
	}
	if _, marked := c.upstreamLost.since(); !marked {
		c.upstreamLost.mark(steady.Now())
	}
	delay := readDelay(r.self)
	if c.Snapshot() == nil && len(c.settings.Seeds) > 0 {
		delay += startReadDelay
	}
	return !c.upstreamLost.within(delay)
}

// shouldFollow states whether this instance follows another one: all do but the first
// readers while the store answers them.
func (c *Catalog) shouldFollow() bool {
	if !c.storeAnswered.within(c.freshFor()) || c.failing.Load() != 0 {
		return true
	}
	return !c.topology.Load().isReader()
}
