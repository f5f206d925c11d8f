// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import "github.com/linkmast/linkmast/notice"

// govern gives the pools without engines an owner one of whose endpoints names a rate limit,
// as that holds for all instances together, and takes it from the others. The caller holds the
// lock.
func (c *Client) govern() {
	limited := c.limitedServices(c.local.settings.Notices.View())
	for name := range c.governed {
		if !limited[name] {
			c.release(name)
		}
	}
	for name := range limited {
		if c.order[name] != nil {
			continue
		}
		c.order[name] = c.rank(name, c.known)
		if !c.governed[name] {
			c.governed[name] = true
			c.log.Info("pool gets an owner", "service", name, "owner", c.order[name][0])
			c.announce = append(c.announce, name)
		}
	}
}

// limitedServices returns the services one of whose endpoints names a rate limit.
func (c *Client) limitedServices(v *notice.View) map[string]bool {
	out := make(map[string]bool)
	for _, instance := range v.Limited() {
		e, known := c.known.Endpoints[instance]
		if known && c.known.Table.Services[e.Service] != nil {
			out[e.Service] = true
		}
	}
	return out
}

// release has each instance place for itself again on the endpoints of a pool. Its owners are
// told that the attempts of this instance have ended, as they won't hear of their ends; where
// the session ends with it, they forget them. The caller holds the lock.
func (c *Client) release(name string) {
	owners := c.linksOf(name)
	for id, r := range c.book {
		if r.ask.Service != name {
			continue
		}
		for _, l := range owners {
			if l != nil {
				l.tell(endMessage(id, name, Abandoned, ""))
			}
		}
	}
	delete(c.governed, name)
	delete(c.order, name)
	delete(c.chosen, name)
	c.log.Info("pool has no owner any more", "service", name)
}

// introduce tells the owners of pools that have just got one what this instance has running
// there; sessions that open later begin with it. The caller holds the lock.
func (c *Client) introduce() {
	for _, name := range c.announce {
		owners := c.linksOf(name)
		for _, r := range c.book {
			if r.ask.Service != name {
				continue
			}
			for _, l := range owners {
				if l != nil {
					l.tell(runningMessage(r))
				}
			}
		}
	}
	c.announce = nil
}
