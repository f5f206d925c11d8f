// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"maps"
	"slices"
)

// Stats describes the state of a Catalog and its role in distributing the data of the store.
type Stats struct {
	// Role is "reader", "carrier" (a relay) or "follower", according to the topology.
	Role string `json:"role"`
	// Joined is set once this instance has a list of other instances. Until then it neither
	// polls the store nor follows another instance.
	Joined bool `json:"joined"`
	// Instances is the number of all instances, and PendingEntries is the number of entries
	// that this instance still has to write or forward.
	Instances      int `json:"instances"`
	PendingEntries int `json:"newcomers"`
	// Reads is set if the store has recently answered this instance.
	Reads bool `json:"reads"`
	// Backlog is the number of records of all feeds that the last polls left in the store. It is
	// above zero only while this instance has more new records to read than one answer holds.
	Backlog int64 `json:"backlog"`
	// Followers is the number of instances that follow this one.
	Followers int `json:"followers"`
	// Hops is the number of links between this instance and Root, which is the ID of the
	// instance that read the data from the store.
	Hops int    `json:"hops"`
	Root string `json:"root"`
	// AnsweredMS is the time since the store last answered Root, in ms. It is one hour if the
	// store never did, or if this instance can't read some feed and has no upstream.
	AnsweredMS int64 `json:"answered_ms"`
	// Drained are the drained failure domains in alphabetical order.
	Drained []string `json:"emptied"`
}

// Stats returns the current state.
func (c *Catalog) Stats() Stats {
	source := c.freshness()
	return Stats{
		Role:           c.topology.Load().role(),
		Joined:         c.joined.Load(),
		Instances:      c.topology.Load().total,
		PendingEntries: c.pending.count(),
		Reads:          c.storeAnswered.within(c.freshFor()),
		Backlog:        c.totalBacklog(),
		Followers:      c.followers.count(),
		Hops:           source.hops,
		Root:           source.root,
		AnsweredMS:     source.answered.Milliseconds(),
		Drained:        c.drainedDomains(),
	}
}

// totalBacklog returns the number of records that the last polls of all feeds left in the store.
func (c *Catalog) totalBacklog() int64 {
	total := int64(0)
	for i := range c.backlog {
		total += c.backlog[i].Load()
	}
	return total
}

// drainedDomains returns the drained failure domains in alphabetical order.
func (c *Catalog) drainedDomains() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.drained))
}

// role returns the role of this instance, as in Stats.
func (t *topology) role() string {
	switch {
	case t.isReader():
		return "reader"
	case t.self < t.relays:
		return "carrier"
	}
	return "follower"
}
