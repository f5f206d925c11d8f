// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// The waits between tries while the store can't be read, and what a poll may
// take longer than its wait.
const (
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = 400 * time.Millisecond
	pollSlack    = 800 * time.Millisecond
	wholeTimeout = 2 * time.Second
	expireEvery  = 100 * time.Millisecond
	// firstStartWait is how long an instance waits at the first start of all
	// until the others are announced; they start within 0.3 s.
	firstStartWait = 700 * time.Millisecond
)

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
	parts.Wait()
}

// learnPeers reads who is there. It returns false when ctx ends before.
func (c *Catalog) learnPeers(ctx context.Context) bool {
	if c.settings.FirstStart {
		sleep(ctx, firstStartWait)
	}
	for failures := 1; ctx.Err() == nil; failures++ {
		_, err := c.readWhole(ctx, Peers)
		if err == nil {
			return true
		}
		c.failed(ctx, Peers, failures, err)
	}
	return false
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (c *Catalog) expireLoop(ctx context.Context) {
	tick := time.NewTicker(expireEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			c.expire(now)
		}
	}
}

// readLoop keeps one feed up to date from the store while this instance should
// read it.
func (c *Catalog) readLoop(ctx context.Context, f Feed, retry *kick) {
	next := int64(-1)
	failures := 0
	for ctx.Err() == nil {
		if !c.shouldRead() {
			sleep(ctx, lookEvery)
			c.failing.And(^(1 << f))
			next, failures = -1, 0
			continue
		}
		if next < 0 {
			next = c.resume(f)
		}
		var err error
		if next < 0 {
			next, err = c.readWhole(ctx, f)
		} else {
			next, err = c.poll(ctx, f, next, failures > 0, retry)
		}
		if err != nil {
			failures++
			c.failing.Or(1 << f)
			c.failed(ctx, f, failures, err)
			continue
		}
		c.failing.And(^(1 << f))
		if failures > 0 {
			c.log.Info("store is back", "feed", f.String(), "failures", failures)
			if f == Configurations {
				// The other feeds may hang on connections that died.
				retry.fire()
			}
		}
		failures = 0
	}
}

// resume returns the offset from which a feed can be followed, or -1 when
// nothing is known of it.
func (c *Catalog) resume(f Feed) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if next, known := c.next[f]; known && len(c.records[f]) > 0 {
		return next
	}
	return -1
}

// failed notes a failed read and waits before the next.
func (c *Catalog) failed(ctx context.Context, f Feed, failures int, err error) {
	if ctx.Err() != nil {
		return
	}
	c.troubled(time.Now())
	if failures == 1 {
		c.log.Info("store can't be read", "feed", f.String(), "cause", err.Error())
	}
	sleep(ctx, min(firstBackoff*time.Duration(failures), lastBackoff))
}

// readWhole reads a feed from nothing.
func (c *Catalog) readWhole(ctx context.Context, f Feed) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, wholeTimeout)
	defer cancel()
	sent := time.Now()
	records, next, err := c.store.Whole(ctx, f)
	if err != nil {
		return -1, err
	}
	c.apply(f, records, next, true, fromStore)
	if f == Configurations && len(records) > 0 {
		c.confirm(sent)
		c.read.mark(time.Now())
	}
	return next, nil
}

// poll waits for the next records of a feed. After a failure it does not wait,
// so that it is known at once that the store is back.
func (c *Catalog) poll(ctx context.Context, f Feed, from int64, failed bool, retry *kick) (int64, error) {
	wait := c.settings.LongPoll
	if f == Configurations {
		wait = c.settings.Poll
	}
	if failed {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+pollSlack)
	defer cancel()
	kicked := func() bool { return false }
	if f != Configurations {
		var stop func()
		kicked, stop = retry.watch(cancel)
		defer stop()
	}
	sent := time.Now()
	records, next, err := c.store.Follow(ctx, f, from, wait)
	if errors.Is(err, ErrCompacted) {
		c.log.Info("feed is read whole again", "feed", f.String(), "from", from)
		return c.readWhole(ctx, f)
	}
	if err != nil && kicked() {
		return from, nil
	}
	if err != nil {
		return from, err
	}
	c.apply(f, records, next, false, fromStore)
	if f == Configurations {
		c.confirm(sent)
		c.read.mark(time.Now())
	}
	return next, nil
}

// kick ends what watches it.
type kick struct {
	mu sync.Mutex
	ch chan struct{}
}

func newKick() *kick {
	return &kick{
		ch: make(chan struct{}),
	}
}

// fire ends all that watch now.
func (k *kick) fire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.ch)
	k.ch = make(chan struct{})
}

// watch calls f at the next fire, until it is stopped. Fired states whether it
// was called.
func (k *kick) watch(f func()) (fired func() bool, stop func()) {
	k.mu.Lock()
	ch := k.ch
	k.mu.Unlock()
	done := make(chan struct{})
	var called atomic.Bool
	go func() {
		select {
		case <-ch:
			called.Store(true)
			f()
		case <-done:
		}
	}()
	return called.Load, func() { close(done) }
}
