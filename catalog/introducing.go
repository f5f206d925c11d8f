// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/linkmast/linkmast/catalog/catalogpb"
	"github.com/linkmast/linkmast/internal/steady"
)

// Timing and limits of introductions. A relay introduces itself to the instances that should
// follow it, because an instance that starts during an outage of the store may not know any
// other.
const (
	// introduceInterval is how often a relay looks for instances that should follow it but
	// don't.
	introduceInterval = 500 * time.Millisecond
	// introduceTimeout is the timeout of one introduction.
	introduceTimeout = 300 * time.Millisecond
	// reintroduceDelay is the delay before this instance repeats its introduction to one that
	// follows another instance or did not answer. That one may have restarted meanwhile and know
	// no instances.
	reintroduceDelay = 2 * time.Second
	// maxParallelIntroductions is the maximum number of concurrent introductions.
	maxParallelIntroductions = 8
)

// introduceLoop introduces this instance to its missing primary followers until ctx ends.
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

// introduceAll introduces this instance to each missing primary follower whose time in due, if any,
// has come. It updates due, which holds the earliest time of the next introduction by instance ID.
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
		c.log.V(1).Info("cannot introduce this instance to others", "first", err.Error())
	}
}

// introduce sends p the entries of this instance and of others that p can follow.
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
		c.log.Info("introduced this instance", "peer", p.ID)
	}
	return nil
}

// adoptPeers accepts a first list of instances and their total number, unless this instance has
// joined already, and returns whether it did. This instance starts to check its own entry after
// delay, within which another instance may write the entry. way is logged as the origin of the
// list.
func (c *Catalog) adoptPeers(known []Peer, total int, way string, delay time.Duration) bool {
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
	c.setJoined(steady.Now().Add(delay))
	c.introduced.fire()
	c.log.Info("accepted list of instances", "known", len(known), "total", total, "by", way)
	return true
}

// setJoined records that this instance has joined and when it starts to check its own entry.
// The caller holds the lock.
func (c *Catalog) setJoined(entryDue time.Time) {
	if c.joined.Swap(true) {
		return
	}
	c.ownEntryDue.Store(&entryDue)
	close(c.joinedCh)
}

// introduceToRelays introduces this instance to the first ones of the order, among which are
// the relays, after it had to read the list of instances from the store.
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
		c.log.V(1).Info("cannot introduce this instance to others", "first", err.Error())
	}
}
