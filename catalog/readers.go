// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"math"
	"time"

	"github.com/linkmast/linkmast/internal/steady"
)

// roleCheckInterval is how often an instance checks whether it must read the store or follow
// another instance. It is short compared with the two seconds within which changes must take
// effect.
const roleCheckInterval = 100 * time.Millisecond

// freshFor returns how long the last answer of the store, or the last confirmation of the
// upstream, counts as recent: two polls and some slack.
func (c *Catalog) freshFor() time.Duration {
	return 2*c.settings.Poll + c.settings.Poll/2
}

// setFailing records whether the last read of a feed failed.
func (c *Catalog) setFailing(f Feed, failing bool) {
	bit := int64(1) << f
	if failing {
		c.failing.Or(bit)
		return
	}
	c.failing.And(^bit)
}

// The delays after which an instance without a fresh upstream reads the store itself. If many
// instances lose their upstream together, the first ones in the order read first, and the
// others can follow them.
const (
	// earlyReaders is the number of instances that read after the shortest delay, minReadDelay.
	// This delay gives instances that start together time to find an upstream.
	earlyReaders = 8
	minReadDelay = 50 * time.Millisecond
	// readDelayStep is the time in which the number of instances that read the store doubles.
	// It covers some tens of round trips between instances. The last delay is 0.78 s with 295
	// instances and 1.1 s with 1,200, below the two seconds within which changes must take effect.
	readDelayStep = 150 * time.Millisecond
	// startReadDelay is the additional delay of an instance that has just started, whose
	// upstreams may still be starting.
	startReadDelay = 400 * time.Millisecond
)

// readDelay returns how long the instance at a position of the order, counted from zero, looks
// for an upstream before it reads the store itself. The delay grows by readDelayStep with each
// doubling of the position beyond earlyReaders.
func readDelay(position int) time.Duration {
	doublings := math.Log2(max(float64(position+1)/earlyReaders, 1))
	return minReadDelay + time.Duration(doublings*float64(readDelayStep))
}

// shouldRead reports whether this instance must read the store. Readers always must. Another
// instance must once it has been without a fresh upstream for the delay of its position, plus
// startReadDelay if it has seeds and no configuration yet. When it has a fresh upstream again, it
// goes on reading as long as the store answers, it has followers, and the root of its upstream
// does not precede it in the order.
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

// shouldFollow reports whether this instance must follow another one. Only a reader that can
// read all feeds, and needs no comparison, need not.
func (c *Catalog) shouldFollow() bool {
	if c.needsComparison() {
		return true
	}
	if !c.storeAnswered.within(c.freshFor()) || c.failing.Load() != 0 {
		return true
	}
	return !c.topology.Load().isReader()
}
