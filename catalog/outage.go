// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"context"
	"time"

	"github.com/linkmast/linkmast/internal/steady"
)

// The times of trying a store that can't be read.
const (
	// firstBackoff is the wait after a first failure; it grows by as much with
	// each further one up to lastBackoff, so that a store that is back is
	// noticed within half a second.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 400 * time.Millisecond
	// maxUnconfiguredBackoff bounds the wait of instances that know no configuration yet
	// and can serve nobody. With lastBackoff the first of nine instances was ready
	// 0.37 s after the store's return, with this 0.05 and 0.18 s, and the last one 0.24
	// and 0.30 s (the loss of all instances in an outage, two runs).
	maxUnconfiguredBackoff = 200 * time.Millisecond
	// maxConnectedBackoff bounds the wait of the first instances that hear from others
	// that the store is back; it doubles with each failure. Each call has a price,
	// and there are many of these instances.
	maxConnectedBackoff = 2 * time.Second
	// peerAnswerWindow is how recently another instance must have answered for this
	// one to rely on hearing from it that the store is back: the time of some
	// tries to follow another one.
	peerAnswerWindow = 2 * time.Second
)

// positionsPerBackoffStep is how many places of the order later an instance waits by one more
// measure of the first ones: with it 120 instances beside the readers make 270
// calls in an outage of 3 s, without it 590.
const positionsPerBackoffStep = 4

// maxDoublings keeps the doubling of waits from overflowing; lastSharedBackoff is
// reached before.
const maxDoublings = 8

// reliesOnPeers states whether this instance would hear from others that the store is
// back: it is not among the first readers, and others answer it.
func (c *Catalog) reliesOnPeers() bool {
	return c.peerAnswered.within(peerAnswerWindow) && !c.topology.Load().isReader()
}

// skipsFeed states whether a feed is not read because the feed of configurations was not
// read of late. That one is enough to see that the store is there. The first readers
// try all feeds, as the store may be down in parts.
func (c *Catalog) skipsFeed(f Feed) bool {
	return f != Configurations && !c.storeAnswered.within(c.freshFor()) && c.reliesOnPeers()
}

// backoff returns the wait after a number of failures in a row. Those that hear from
// others that the store is back wait in proportion to their place in the order, so that
// all of them together ask a store that is down about as often as the first few do.
func (c *Catalog) backoff(failures int) time.Duration {
	if c.reliesOnPeers() {
		share := time.Duration(max(c.topology.Load().self/positionsPerBackoffStep, 1))
		return share * min(firstBackoff<<min(failures-1, maxDoublings), maxConnectedBackoff)
	}
	longest := maxBackoff
	if c.Snapshot() == nil {
		longest = maxUnconfiguredBackoff
	}
	return min(firstBackoff*time.Duration(failures), longest)
}

// handleReadFailure notes a handleReadFailure read and waits before the next.
func (c *Catalog) handleReadFailure(ctx context.Context, f Feed, failures int, err error) {
	if ctx.Err() != nil {
		return
	}
	c.recordReadFailure(f, failures, err)
	sleep(ctx, c.backoff(failures))
}

// shouldLogFailure states whether the last of a number of failures in a row has a line: the first,
// second, fourth, eighth and so on, so that one that goes on shows.
func shouldLogFailure(failures int) bool {
	return failures&(failures-1) == 0
}

// recordReadFailure notes the last of a number of reads in a row that failed.
func (c *Catalog) recordReadFailure(f Feed, failures int, err error) {
	c.holdRemovals(steady.Now())
	if shouldLogFailure(failures) {
		c.log.Info("store can't be read", "feed", f.String(), "failures", failures, "cause", err.Error())
	}
}

// recordRecovery notes that a feed can be read again.
func (c *Catalog) recordRecovery(f Feed, failures int, retry *signal) {
	c.log.Info("store is back", "feed", f.String(), "failures", failures)
	if f == Configurations {
		// The other feeds may hang on connections that died.
		retry.fire()
	}
}
