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
	// wholeTimeout bounds a whole read of a feed.
	wholeTimeout = 2 * time.Second
	// spacing is the least time between two polls for endpoints or instances
	// that bring something: after an outage entries come back one by one, and
	// what comes together costs one call.
	spacing = 100 * time.Millisecond
	// expireEvery is how often it is looked whether removals have come due.
	expireEvery = 100 * time.Millisecond
	// firstStartWait is how long an instance waits at the first start of all
	// until the others are announced; they start within 0.3 s.
	firstStartWait = 700 * time.Millisecond
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
	parts.Go(func() {
		if c.learnPeers(ctx) {
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

// learnPeers finds out who is there, from the store or by an instance that introduces
// itself. It returns false when ctx ends before.
func (c *Catalog) learnPeers(ctx context.Context) bool {
	if c.settings.FirstStart {
		sleep(ctx, firstStartWait)
	}
	reading, cancel := context.WithCancel(ctx)
	defer cancel()
	_, stop := c.introduced.watch(cancel)
	defer stop()
	for failures := 1; !c.joined.Load() && ctx.Err() == nil; failures++ {
		_, err := c.readWhole(reading, Peers)
		if err == nil {
			c.joined.Store(true)
			break
		}
		c.failed(reading, Peers, failures, err)
	}
	return ctx.Err() == nil
}

// Entry is what is known of this instance's own entry in the store.
type Entry int

// The states of the entry.
const (
	// EntryUnknown is the state until it is known who is there.
	EntryUnknown Entry = iota
	// EntryLacks is that of an entry that is not there, or says something else.
	EntryLacks
	// EntryStands is that of an entry as it should be.
	EntryStands
)

// Entry returns what is known of this instance's entry. At the first start of all there
// is none.
func (c *Catalog) Entry() Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.peers[c.settings.Self.ID] == c.settings.Self:
		return EntryStands
	case c.settings.FirstStart || c.joined.Load():
		return EntryLacks
	}
	return EntryUnknown
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
	for ctx.Err() == nil {
		if !c.shouldRead() || c.pauses(f) {
			sleep(ctx, lookEvery)
			c.setFailing(f, false)
			next, failures = unread, 0
			continue
		}
		if next == unread {
			next = c.resume(f)
		}
		var err error
		if next == unread {
			next, err = c.readWhole(ctx, f)
		} else {
			next, err = c.poll(ctx, f, next, failures > 0, retry)
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

// readWhole reads a feed from nothing. It returns the offset to follow from.
func (c *Catalog) readWhole(ctx context.Context, f Feed) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, wholeTimeout)
	defer cancel()
	sent := steady.Now()
	records, next, err := c.store.Whole(ctx, f)
	if err != nil {
		return unread, err
	}
	c.apply(f, records, next, allParts, fromStore)
	if f == Configurations && len(records) > 0 {
		c.answered(sent)
	}
	return next, nil
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

// poll waits for the next records of a feed, and returns the offset after them.
func (c *Catalog) poll(ctx context.Context, f Feed, from int64, failed bool, retry *kick) (int64, error) {
	wait := c.pollWait(f, failed)
	whole := ctx
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
	if errors.Is(err, ErrCompacted) {
		c.log.Info("feed is read whole again", "feed", f.String(), "from", from)
		// It has a time limit of its own.
		return c.readWhole(whole, f)
	}
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
