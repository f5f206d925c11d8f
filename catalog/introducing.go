// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/linkmast/linkmast/catalog/catalogpb"
	"github.com/linkmast/linkmast/internal/steady"
)

// The measures of introductions. An instance that starts while the store does not
// answer it knows nobody; the carrier that it would follow tells it so.
const (
	// introduceInterval is how often a carrier looks for instances that do not follow
	// it although they would try it first.
	introduceInterval = 500 * time.Millisecond
	// introduceTimeout bounds one call: many round trips.
	introduceTimeout = 300 * time.Millisecond
	// reintroduceDelay is after how long an instance is told again that follows
	// another one, or did not answer: one that starts anew follows this one or
	// breaks off, and is told then.
	reintroduceDelay = 2 * time.Second
	// maxParallelIntroductions is how many are made at once.
	maxParallelIntroductions = 8
)

// introduceLoop introduces this instance to those that should follow it and don't,
// until ctx ends.
func (c *Catalog) introduceLoop(ctx context.Context) {
	due := make(map[string]time.Time)
	for ctx.Err() == nil {
		sleep(ctx, introduceInterval)
		if c.Snapshot() == nil {
			continue
		}
		c.introduceAll(ctx, due)
	}
}

// introduceAll makes the introductions that are due, and notes when the next ones are.
func (c *Catalog) introduceAll(ctx context.Context, due map[string]time.Time) {
	var calls errgroup.Group
	calls.SetLimit(maxParallelIntroductions)
	for _, p := range c.topology.Load().primaryFollowers() {
		if c.followers.has(p.ID) {
			delete(due, p.ID)
			continue
		}
		now := steady.Now()
		if now.Before(due[p.ID]) {
			continue
		}
		due[p.ID] = now.Add(reintroduceDelay)
		calls.Go(func() error { return c.introduce(ctx, p) })
	}
	if err := calls.Wait(); err != nil && ctx.Err() == nil {
		c.log.V(1).Info("introductions failed", "first", err.Error())
	}
}

// introduce tells an instance of this one.
func (c *Catalog) introduce(ctx context.Context, p Peer) error {
	ctx, cancel := context.WithTimeout(ctx, introduceTimeout)
	defer cancel()
	conn, err := c.dialer.Conn(p.Address)
	if err != nil {
		return err
	}
	r := c.topology.Load()
	answer, err := catalogpb.NewCatalogClient(conn).Introduce(ctx, &catalogpb.Introducing{
		Known: introductions(append([]Peer{c.settings.Self}, r.bootstrapPeers(p, false)...)),
		Total: int64(r.total),
	})
	if err != nil {
		return err
	}
	if !answer.GetKnown() {
		c.log.Info("introduced itself", "peer", p.ID)
	}
	return nil
}

// adoptPeers takes over instances that are there, of so many in all, if it is not known yet who
// is. It returns whether it did. Others see to this instance's entry for a while. The way is
// for the log.
func (c *Catalog) adoptPeers(known []Peer, total int, way string, others time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.joined.Load() {
		return false
	}
	for _, p := range known {
		c.peers.set(p.ID, p)
	}
	c.reportedTotal = total
	c.updateTopology()
	c.setJoined(steady.Now().Add(others))
	c.introduced.fire()
	c.log.Info("instances known", "known", len(known), "total", total, "by", way)
	return true
}

// setJoined notes that it is known who is there, and from when on this instance sees to its
// entry. The caller holds the lock.
func (c *Catalog) setJoined(entryDue time.Time) {
	if c.joined.Swap(true) {
		return
	}
	c.ownEntryDue.Store(&entryDue)
	close(c.joinedCh)
}

// introduceToRelays tells the first of the order whom they can follow, after this instance
// has found out from the store who is there because nobody else said so: they carry the
// others.
func (c *Catalog) introduceToRelays(ctx context.Context) {
	var calls errgroup.Group
	calls.SetLimit(maxParallelIntroductions)
	r := c.topology.Load()
	for _, p := range r.all[:min(maxBootstrapPeers, len(r.all))] {
		if p.ID != c.settings.Self.ID {
			calls.Go(func() error { return c.introduce(ctx, p) })
		}
	}
	if err := calls.Wait(); err != nil && ctx.Err() == nil {
		c.log.V(1).Info("introductions failed", "first", err.Error())
	}
}
