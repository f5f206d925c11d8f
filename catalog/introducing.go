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
	// introduceEvery is how often a carrier looks for instances that do not follow
	// it although they would try it first.
	introduceEvery = 500 * time.Millisecond
	// introduceWithin bounds one call: many round trips.
	introduceWithin = 300 * time.Millisecond
	// introduceAgain is after how long an instance is told again that follows
	// another one, or did not answer: one that starts anew follows this one or
	// breaks off, and is told then.
	introduceAgain = 2 * time.Second
	// introductions is how many are made at once.
	introductions = 8
)

// introduceLoop introduces this instance to those that should follow it and don't,
// until ctx ends.
func (c *Catalog) introduceLoop(ctx context.Context) {
	due := make(map[string]time.Time)
	for ctx.Err() == nil {
		sleep(ctx, introduceEvery)
		if c.Snapshot() == nil {
			continue
		}
		c.introduceAll(ctx, due)
	}
}

// introduceAll makes the introductions that are due, and notes when the next ones are.
func (c *Catalog) introduceAll(ctx context.Context, due map[string]time.Time) {
	var calls errgroup.Group
	calls.SetLimit(introductions)
	for _, p := range c.ranks.Load().wards {
		if c.followers.has(p.ID) {
			delete(due, p.ID)
			continue
		}
		now := steady.Now()
		if now.Before(due[p.ID]) {
			continue
		}
		due[p.ID] = now.Add(introduceAgain)
		calls.Go(func() error { return c.introduce(ctx, p) })
	}
	if err := calls.Wait(); err != nil && ctx.Err() == nil {
		c.log.V(1).Info("introductions failed", "first", err.Error())
	}
}

// introduce tells an instance of this one.
func (c *Catalog) introduce(ctx context.Context, p Peer) error {
	ctx, cancel := context.WithTimeout(ctx, introduceWithin)
	defer cancel()
	conn, err := c.dialer.Conn(p.Address)
	if err != nil {
		return err
	}
	self := c.settings.Self
	answer, err := catalogpb.NewCatalogClient(conn).Introduce(ctx, &catalogpb.Introduction{
		Id:            self.ID,
		Address:       self.Address,
		FailureDomain: self.FailureDomain,
		Capacity:      int64(self.Capacity),
	})
	if err != nil {
		return err
	}
	if !answer.GetKnown() {
		c.log.Info("introduced itself", "peer", p.ID)
	}
	return nil
}

// meet takes over an instance that introduces itself, if it is not known yet who is
// there. It returns whether it did.
func (c *Catalog) meet(p Peer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.joined.Load() {
		return false
	}
	c.joined.Store(true)
	c.peers[p.ID] = p
	c.rank()
	c.introduced.fire()
	c.log.Info("peer known", "peer", p.ID, "address", p.Address, "by", "introduction")
	return true
}
