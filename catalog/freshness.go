// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"context"
	"time"
)

// stalenessSlack is how much longer than its wait time a poll may take before followers regard
// the data as stale.
const stalenessSlack = 300 * time.Millisecond

// freshness describes where an instance's data comes from and how recent it is.
type freshness struct {
	// answered is the time since the store last answered the root.
	answered time.Duration
	// root is the ID of the instance that read the data from the store, and hops is the number
	// of links from there to this instance.
	root string
	hops int
}

// neverAnswered stands for a store that has never answered. It exceeds every staleness
// threshold.
const neverAnswered = time.Hour

// freshness returns the freshness of this instance's data: that of its own reads or of its
// upstream, whichever is more recent.
func (c *Catalog) freshness() freshness {
	own, ok := c.storeAnswered.since()
	// While any feed can't be read, followers could miss changes.
	ok = ok && c.failing.Load() == 0
	upstream, following := c.upstreamConfirmed.since()
	via := c.upstreamFreshness.Load()
	if following && via != nil && (!ok || upstream < own) {
		return freshness{
			answered: upstream,
			root:     via.root,
			hops:     via.hops,
		}
	}
	if !ok {
		own = neverAnswered
	}
	return freshness{
		answered: own,
		root:     c.settings.Self.ID,
	}
}

// stale reports whether data is too old for others to follow. Each hop adds the time between
// two pings. The threshold is low, so that followers change their upstream long before the age
// of the configuration becomes a problem.
func (c *Catalog) stale(s freshness) bool {
	return s.answered > c.settings.Poll+stalenessSlack+time.Duration(s.hops)*c.pingEvery()
}

// followable reports whether this instance's data is fresh enough for followers.
func (c *Catalog) followable() bool {
	_, known := c.Age()
	return known && !c.stale(c.freshness())
}

// maxFollowerHold is how long an instance with stale data holds the request of a patient
// follower. If the data becomes fresh meanwhile, as after a common start or an outage, the
// follower is served at once. It leaves the follower enough of openTimeout for the network.
const maxFollowerHold = 400 * time.Millisecond

// awaitFollowable waits up to maxFollowerHold until this instance is followable, and returns
// whether it is.
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
