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
	// spacing is the least time between two polls for endpoints or instances
	// that bring something: after an outage entries come back one by one, and
	// what comes together costs one call.
	spacing = 100 * time.Millisecond
	// expireEvery is how often it is looked whether removals have come due.
	expireEvery = 100 * time.Millisecond
)

// answered notes that the store showed the newest configuration to a read.
func (c *Catalog) answered(sent time.Time) {
	c.confirm(sent)
	c.read.mark(steady.Now())
	c.fresher.fire()
}

// Run follows the store until ctx ends.
func (c *Catalog) Run(ctx context.Context) {
	var parts sync.WaitGroup
	parts.Go(func() { c.expireLoop(ctx) })
	parts.Go(func() { c.announceLoop(ctx) })
	parts.Go(func() {
		if c.join(ctx) {
			c.follow(ctx)
		}
	})
	parts.Wait()
}

// follow reads the store and follows other instances as either is needed.
func (c *Catalog) follow(ctx context.Context) {
	var parts sync.WaitGroup
	retry := newKick()
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
	tick := time.NewTicker(expireEvery)
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
func (c *Catalog) readLoop(ctx context.Context, f Feed, retry *kick) {
	next := int64(unread)
	failures := 0
	whole := &wholeRead{
		feed: f,
	}
	for ctx.Err() == nil {
		if !c.shouldRead() || c.pauses(f) {
			sleep(ctx, lookEvery)
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
			next, err = c.readWhole(ctx, whole)
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
			c.failed(ctx, f, failures, err)
			continue
		}
		c.setFailing(f, false)
		if failures > 0 {
			c.back(f, failures, retry)
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
	return c.settings.LongPoll
}

// poll waits for the next records of a feed, and returns the offset after them. The error
// is ErrCompacted when the feed must be read whole.
func (c *Catalog) poll(ctx context.Context, f Feed, from int64, failed bool, retry *kick) (int64, error) {
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
		c.answered(sent)
	case len(records) > 0:
		sleep(ctx, spacing-steady.Since(sent))
	}
	return next, nil
}
