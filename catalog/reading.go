// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/internal/steady"
)

// The times of reading the store.
const (
	// pollSlack is how much longer than its wait a poll may take.
	pollSlack = 800 * time.Millisecond
	// pageTimeout bounds the read of one page.
	pageTimeout = 2 * time.Second
	// minPollInterval is the least time between two polls for endpoints or instances
	// that bring something: after an outage entries come back one by one, and
	// what comes together costs one call.
	minPollInterval = 100 * time.Millisecond
	// expireInterval is how often it is looked whether removals have come due.
	expireInterval = 100 * time.Millisecond
)

// confirmByStore notes that the store showed the newest configuration to a read.
func (c *Catalog) confirmByStore(sent time.Time) {
	c.confirm(sent)
	c.storeAnswered.mark(steady.Now())
	c.confirmation.fire()
}

// Run follows the store until ctx ends.
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

// runFeeds reads the store and follows other instances as either is needed.
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

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// expireLoop removes endpoints as their time comes.
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

// readLoop keeps one feed up to date from the store while this instance should
// read it.
func (c *Catalog) readLoop(ctx context.Context, f Feed, retry *signal) {
	next := int64(unread)
	failures := 0
	whole := &fullRead{
		feed: f,
	}
	for ctx.Err() == nil {
		if !c.shouldRead() || c.skipsFeed(f) {
			sleep(ctx, roleCheckInterval)
			c.setFailing(f, false)
			next, failures = unread, 0
			whole.reset()
			continue
		}
		if next == unread && !whole.due {
			next = c.resume(f)
		}
		var err error
		if next == unread {
			next, err = c.readFull(ctx, whole)
		} else {
			next, err = c.poll(ctx, f, next, failures > 0, retry)
			if errors.Is(err, ErrCompacted) {
				c.log.Info("feed is read whole again", "feed", f.String(), "from", next)
				next = unread
				whole.reset()
				whole.due = true
				continue
			}
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

// unread stands for the offset of a feed that must be read whole.
const unread = -1

// resume returns the offset from which a feed can be followed, or unread when
// nothing is known of it.
func (c *Catalog) resume(f Feed) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if next, known := c.next[f]; known && len(c.records[f]) > 0 {
		return next
	}
	return unread
}

// pollWait returns how long a poll waits. After a failure it does not, so that it
// is known at once that the store is back.
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

// poll waits for the next records of a feed, and returns the offset after them. The error
// is ErrCompacted when the feed must be read whole.
func (c *Catalog) poll(ctx context.Context, f Feed, from int64, failed bool, retry *signal) (int64, error) {
	wait := c.pollWait(f, failed)
	ctx, cancel := context.WithTimeout(ctx, wait+pollSlack)
	defer cancel()
	kicked := func() bool { return false }
	if f != Configurations {
		var stop func()
		kicked, stop = retry.watch(cancel)
		defer stop()
	}
	sent := steady.Now()
	records, next, err := c.store.Follow(ctx, f, from, wait)
	if err != nil && kicked() {
		return from, nil
	}
	if err != nil {
		return from, err
	}
	c.apply(f, records, next, 0, fromStore)
	switch {
	case f == Configurations:
		c.confirmByStore(sent)
	case len(records) > 0:
		sleep(ctx, minPollInterval-steady.Since(sent))
	}
	return next, nil
}
