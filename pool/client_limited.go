// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import "github.com/linkmast/linkmast/notice"

// assignOwners gives the pools without engines an owner one of whose endpoints names a rate limit,
// as that holds for all instances together, and takes it from the others. The caller holds the
// lock.
func (c *Client) assignOwners() {
	limited := c.limitedServices(c.local.settings.Notices.View())
	for name := range c.plainOwned {
		if !limited[name] {
			c.dropOwners(name)
		}
	}
	for name := range limited {
		if c.ownerOrder[name] != nil {
			continue
		}
		c.ownerOrder[name] = c.rankOwners(name, c.snapshot)
		if !c.plainOwned[name] {
			c.plainOwned[name] = true
			c.log.Info("pool gets an owner", "service", name, "owner", c.ownerOrder[name][0])
			c.unannounced = append(c.unannounced, name)
		}
	}
}

// limitedServices returns the services one of whose endpoints names a rate limit.
func (c *Client) limitedServices(v *notice.View) map[string]bool {
	out := make(map[string]bool)
	for _, instance := range v.Limited() {
		e, known := c.snapshot.Endpoints[instance]
		if known && c.snapshot.Table.Services[e.Service] != nil {
			out[e.Service] = true
		}
	}
	return out
}

// dropOwners has each instance place for itself again on the endpoints of a pool. Its owners are
// told that the attempts of this instance have ended, as they won't hear of their ends; where
// the session ends with it, they forget them. The caller holds the lock.
func (c *Client) dropOwners(name string) {
	owners := c.linksOf(name)
	for id, r := range c.attempts {
		if r.ask.Service != name {
			continue
		}
		for _, l := range owners {
			if l != nil {
				l.enqueue(endMessage(id, name, Abandoned, ""))
			}
		}
	}
	delete(c.plainOwned, name)
	delete(c.ownerOrder, name)
	delete(c.followed, name)
	c.log.Info("pool has no owner any more", "service", name)
}

// announceAttempts tells the owners of pools that have just got one what this instance has running
// there; sessions that open later begin with it. The caller holds the lock.
func (c *Client) announceAttempts() {
	for _, name := range c.unannounced {
		owners := c.linksOf(name)
		for _, r := range c.attempts {
			if r.ask.Service != name {
				continue
			}
			for _, l := range owners {
				if l != nil {
					l.enqueue(runningMessage(r))
				}
			}
		}
	}
	c.unannounced = nil
}
