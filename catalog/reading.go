// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/internal/steady"
)

// Timing of reads from the store.
const (
	// pollSlack is the time that a poll may take beyond its wait time.
	pollSlack = 800 * time.Millisecond
	// pageTimeout is the timeout of reading one page.
	pageTimeout = 2 * time.Second
	// minPollInterval is the minimum time between two polls for endpoints or instances if the
	// first one returned all new records. Entries that return one by one after an outage are then
	// read together.
	minPollInterval = 100 * time.Millisecond
	// expireInterval is how often held removals are checked.
	expireInterval = 100 * time.Millisecond
)

// confirmByStore records that the store returned its newest configuration for a request sent at
// the given time. It confirms the configuration in force unless the store has come back from a copy
// that may lack it.
func (c *Catalog) confirmByStore(sent time.Time) {
	if c.tableConfirmed() {
		c.confirm(sent)
	}
	c.storeAnswered.mark(steady.Now())
	c.confirmation.fire()
}

// Run keeps the catalog up to date until ctx ends.
func (c *Catalog) Run(ctx context.Context) {
	var parts sync.WaitGroup
	parts.Go(func() { c.expireLoop(ctx) })
	parts.Go(func() { c.announceLoop(ctx) })
	parts.Go(func() {
		if c.join(ctx) {
			c.runFeeds(ctx)
		}
	})
	parts.Wait()
}

// runFeeds runs the loops that read the store, follow another instance and introduce this
// instance, until ctx ends.
func (c *Catalog) runFeeds(ctx context.Context) {
	var parts sync.WaitGroup
	retry := newSignal()
	for _, f := range feeds {
		parts.Go(func() { c.readLoop(ctx, f, retry) })
	}
	parts.Go(func() { c.followLoop(ctx) })
	parts.Go(func() { c.introduceLoop(ctx) })
	parts.Wait()
}

// sleep waits until the duration has passed or ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// expireLoop applies held removals when they are due.
func (c *Catalog) expireLoop(ctx context.Context) {
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			c.expire(steady.Now())
		}
	}
}

// readLoop keeps one feed up to date from the store while this instance must read it. A fired
// retry interrupts the current poll, except that of the configurations.
func (c *Catalog) readLoop(ctx context.Context, f Feed, retry *signal) {
	next := int64(unread)
	failures := 0
	full := &fullRead{
		feed: f,
	}
	for ctx.Err() == nil {
		if !c.shouldRead() || c.skipsFeed(f) {
			sleep(ctx, roleCheckInterval)
			c.setFailing(f, false)
			c.backlog[f].Store(0)
			next, failures = unread, 0
			full.reset()
			continue
		}
		if next == unread && !full.due {
			next = c.resume(f)
		}
		if next != unread && c.recheckDue(f) {
			next = unread
			full.reset()
			full.due = true
		}
		var err error
		if next == unread {
			next, err = c.readFull(ctx, full)
		} else {
			next, err = c.poll(ctx, f, next, failures > 0, retry)
			if errors.Is(err, ErrCompacted) {
				c.log.Info("records no longer kept, reading the feed in full", "feed", f.String(), "from", next)
				next = unread
				full.reset()
				full.due = true
				continue
			}
		}
		if errors.Is(err, ErrRestored) || errors.Is(err, ErrMoved) {
			c.log.Info("reading the feed in full again", "feed", f.String(), "cause", err.Error())
			c.holdRemovals(steady.Now())
			// The polls of the other feeds may wait for offsets that no longer exist.
			retry.fire()
			next = unread
			full.reset()
			full.due = true
			sleep(ctx, minPollInterval)
			continue
		}
		if err != nil {
			failures++
			c.setFailing(f, true)
			c.handleReadFailure(ctx, f, failures, err)
			continue
		}
		c.setFailing(f, false)
		if failures > 0 {
			c.recordRecovery(f, failures, retry)
		}
		failures = 0
	}
}

// unread is the offset of a feed that must be read in full.
const unread = -1

// resume returns the offset from which a feed can be followed, or unread if the feed has no
// records yet.
func (c *Catalog) resume(f Feed) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if next, known := c.next[f]; known && len(c.records[f]) > 0 {
		return next
	}
	return unread
}

// pollWait returns the wait time of a poll. After a failure it is zero, to detect at once that
// the store is back.
func (c *Catalog) pollWait(f Feed, failed bool) time.Duration {
	switch {
	case failed:
		return 0
	case f == Configurations:
		return c.settings.Poll
	case f == Endpoints:
		return c.settings.EndpointPoll
	}
	return c.settings.InstancePoll
}

// poll waits for the next records of a feed, applies them and returns the offset after them. It
// returns ErrCompacted if the feed must be read in full. An answer that leaves records in the store
// confirms nothing, since one of these may replace the configuration in force.
func (c *Catalog) poll(ctx context.Context, f Feed, from int64, failed bool, retry *signal) (int64, error) {
	wait := c.untilRecheck(f, c.pollWait(f, failed))
	ctx, cancel := context.WithTimeout(ctx, wait+pollSlack)
	defer cancel()
	interrupted := func() bool { return false }
	if f != Configurations {
		var stop func()
		interrupted, stop = retry.watch(cancel)
		defer stop()
	}
	sent := steady.Now()
	changes, err := c.store.Follow(ctx, f, from, wait)
	if err != nil && interrupted() {
		return from, nil
	}
	if err != nil {
		return from, err
	}
	c.apply(f, changes.Records, changes.Next, 0, fromStore)
	c.recordBacklog(f, changes)
	if f == Configurations && changes.Backlog() == 0 {
		c.confirmByStore(sent)
	}
	sleep(ctx, pollInterval(f, changes)-steady.Since(sent))
	return changes.Next, nil
}

// pollInterval returns the minimum time between a poll that returned the given changes and the next
// one. An answer that contains only the first of the new records is followed by the next poll at
// once, unless it contains none.
func pollInterval(f Feed, changes Changes) time.Duration {
	partial, empty := changes.Backlog() > 0, len(changes.Records) == 0
	switch {
	case partial && empty:
		return minPollInterval
	case !partial && !empty && f != Configurations:
		return minPollInterval
	}
	return 0
}

// recordBacklog records how many records of a feed a poll left in the store, and logs it if there are
// any.
func (c *Catalog) recordBacklog(f Feed, changes Changes) {
	n := changes.Backlog()
	c.backlog[f].Store(n)
	if n > 0 {
		c.log.Info("read only a part of the new records", "feed", f.String(), "records", len(changes.Records),
			"next", changes.Next, "backlog", n)
	}
}
