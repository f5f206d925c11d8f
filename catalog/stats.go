// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"maps"
	"slices"
)

// Stats are an instance's place among those that hand on what the store says.
type Stats struct {
	// Role is "reader", "carrier" or "follower", by the order of all instances.
	Role string `json:"role"`
	// Joined states that it is known who is there: an instance that starts can't do
	// anything before.
	Joined bool `json:"joined"`
	// Instances counts all instances, and Newcomers those whose entries this one sees to.
	Instances      int `json:"instances"`
	PendingEntries int `json:"newcomers"`
	// Reads states that the store answers this instance.
	Reads bool `json:"reads"`
	// Followers counts the instances that follow this one.
	Followers int `json:"followers"`
	// Hops counts the instances between the one that the store answers and this
	// one, and Root names that one.
	Hops int    `json:"hops"`
	Root string `json:"root"`
	// AnsweredMS is how long ago the store answered the root, in ms; an hour when
	// it never did.
	AnsweredMS int64 `json:"answered_ms"`
	// Drained are the failure domains that get nothing new, in order.
	Drained []string `json:"emptied"`
}

// Stats returns the figures of now.
func (c *Catalog) Stats() Stats {
	now := c.freshness()
	return Stats{
		Role:           c.topology.Load().role(),
		Joined:         c.joined.Load(),
		Instances:      c.topology.Load().total,
		PendingEntries: c.pending.count(),
		Reads:          c.storeAnswered.within(c.freshFor()),
		Followers:      c.followers.count(),
		Hops:           now.hops,
		Root:           now.root,
		AnsweredMS:     now.answered.Milliseconds(),
		Drained:        c.drainedDomains(),
	}
}

// drainedDomains returns the failure domains that are emptied, in order.
func (c *Catalog) drainedDomains() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.drained))
}

// role returns what an instance is meant to do.
func (r *topology) role() string {
	switch {
	case r.isReader():
		return "reader"
	case r.self < r.relays:
		return "carrier"
	}
	return "follower"
}
