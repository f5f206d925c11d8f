// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"context"
	"time"
)

// stalenessSlack is how much longer than its wait a poll may take before the store counts
// as out of reach for followers.
const stalenessSlack = 300 * time.Millisecond

// freshness is how fresh what an instance knows is.
type freshness struct {
	// answered is how long ago the store answered the root.
	answered time.Duration
	// root names the instance that the store answered, and hops counts the
	// instances from there to the one that says so.
	root string
	hops int
}

// neverAnswered stands for an answer that never came: longer than any that counts.
const neverAnswered = time.Hour

// freshness returns where what this instance knows comes from.
func (c *Catalog) freshness() freshness {
	read, ok := c.storeAnswered.since()
	// With a feed that can't be read it is not known what others must know.
	ok = ok && c.failing.Load() == 0
	heard, also := c.upstreamConfirmed.since()
	via := c.upstreamFreshness.Load()
	if also && via != nil && (!ok || heard < read) {
		return freshness{
			answered: heard,
			root:     via.root,
			hops:     via.hops,
		}
	}
	if !ok {
		read = neverAnswered
	}
	return freshness{
		answered: read,
		root:     c.settings.Self.ID,
	}
}

// stale states whether somebody knows too little for others to follow. Each hop adds
// the time between two pings. Followers must know changes soon, so they leave long
// before the age becomes a matter of safety.
func (c *Catalog) stale(s freshness) bool {
	return s.answered > c.settings.Poll+stalenessSlack+time.Duration(s.hops)*c.pingEvery()
}

// followable states whether others can follow this instance.
func (c *Catalog) followable() bool {
	_, known := c.Age()
	return known && !c.stale(c.freshness())
}

// maxFollowerHold is how long an instance that knows too little holds a patient one that
// wants to follow it. Instances that start together, and all of them when the store is back
// from an outage, are told at once so, and in an outage ask seldom. It leaves a third
// of openWithin for the way.
const maxFollowerHold = 400 * time.Millisecond

// awaitFollowable waits until others can follow this instance, for holdFollower at
// most, and returns whether they can.
func (c *Catalog) awaitFollowable(ctx context.Context, closing <-chan struct{}) bool {
	timeout := time.NewTimer(maxFollowerHold)
	defer timeout.Stop()
	for {
		changed := c.confirmation.next()
		if c.followable() {
			return true
		}
		select {
		case <-changed:
		case <-timeout.C:
			return false
		case <-closing:
			return false
		case <-ctx.Done():
			return false
		}
	}
}
