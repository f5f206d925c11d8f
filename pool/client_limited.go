// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import "github.com/linkmast/linkmast/notice"

// assignOwners gives an owner to each pool without engines in which an endpoint announces a rate
// limit, and removes the owner from the other pools without engines. A rate limit applies to all
// instances together. The caller must hold c.mu.
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

// limitedServices returns the services in which an endpoint announces a rate limit.
func (c *Client) limitedServices(v *notice.View) map[string]bool {
	out := make(map[string]bool)
	for _, endpoint := range v.Limited() {
		e, known := c.snapshot.Endpoints[endpoint]
		if known && c.snapshot.Table.Services[e.Service] != nil {
			out[e.Service] = true
		}
	}
	return out
}

// dropOwners removes the owner of a pool, so that each instance places its own requests there. It
// reports the attempts of this instance as ended to the owners, which won't receive their real
// ends. If a session ends for good before that report is sent, its owner ends the attempts as
// orphans. The caller must hold c.mu.
func (c *Client) dropOwners(name string) {
	owners := c.linksOf(name)
	for id, r := range c.attempts {
		if r.request.Service != name {
			continue
		}
		for _, l := range owners {
			if l != nil {
				l.enqueue(endMessage(id, name, Abandoned, ""))
			}
		}
	}
	c.setDecider(name, c.self.ID)
	delete(c.deciders, name)
	delete(c.plainOwned, name)
	delete(c.ownerOrder, name)
	delete(c.followed, name)
	c.log.Info("pool has no owner any more", "service", name)
}

// announceAttempts reports the running attempts to the owners of pools that have just got one.
// Sessions that are opened later start with such a report. The caller must hold c.mu.
func (c *Client) announceAttempts() {
	for _, name := range c.unannounced {
		owners := c.linksOf(name)
		for _, r := range c.attempts {
			if r.request.Service != name {
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
