// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"time"
)

// apply takes over changes of a feed. With whole set they are all there is of
// the feed, so that what is missing has gone.
func (c *Catalog) apply(f Feed, changes []Change, whole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(changes) == 0 && !whole {
		return
	}
	seen := make(map[string]bool, len(changes))
	for _, one := range changes {
		c.applyOne(one, seen)
	}
	if whole {
		c.dropMissing(f, seen)
	}
	c.publish()
}

func (c *Catalog) applyOne(one Change, seen map[string]bool) {
	switch v := one.(type) {
	case *TableChange:
		c.applyTable(v)
	case *EndpointChange:
		seen[v.Endpoint.Instance] = true
		c.applyEndpoint(v.Endpoint)
	case *EndpointGone:
		c.remove(v.Instance)
	case *PeerChange:
		seen[v.Peer.ID] = true
		if c.peers[v.Peer.ID] != v.Peer {
			c.log.Info("peer known", "peer", v.Peer.ID, "address", v.Peer.Address)
		}
		c.peers[v.Peer.ID] = v.Peer
	case *PeerGone:
		c.log.Info("peer gone", "peer", v.ID)
		delete(c.peers, v.ID)
	case *Malformed:
		c.log.Error(v.Err, "record ignored", "key", v.Key)
	}
}

// applyTable brings a configuration into force if it is newer.
func (c *Catalog) applyTable(v *TableChange) {
	if c.table != nil && v.Table.Version <= c.table.Version {
		c.log.V(1).Info("configuration is not newer", "version", v.Table.Version, "in_force", c.table.Version)
		return
	}
	before := int64(0)
	if c.table != nil {
		before = c.table.Version
	}
	c.table = v.Table
	c.log.Info("configuration in force", "version", v.Table.Version, "before", before, "routes", len(v.Table.Routes))
}

// applyEndpoint takes over an entry. An endpoint that said that it leaves does
// not come back under the same name.
func (c *Catalog) applyEndpoint(e Endpoint) {
	old, known := c.endpoints[e.Instance]
	e.Leaving = e.Leaving || old.Leaving
	delete(c.vanished, e.Instance)
	if !known || old != e {
		c.log.Info("endpoint known", "endpoint", e.Instance, "service", e.Service, "address", e.Address, "leaving", e.Leaving)
	}
	c.endpoints[e.Instance] = e
	if e.Leaving {
		c.depart(e.Instance)
	} else {
		// An entry that had lapsed is back.
		delete(c.departed, e.Instance)
	}
}

// depart notes that an endpoint leaves or is gone.
func (c *Catalog) depart(instance string) {
	if _, known := c.departed[instance]; !known {
		c.departed[instance] = time.Now()
	}
}

// remove ends an endpoint, at once or, in doubt, after a while.
func (c *Catalog) remove(instance string) {
	if _, known := c.endpoints[instance]; !known {
		return
	}
	now := time.Now()
	if now.Before(c.doubt) {
		if _, waits := c.vanished[instance]; !waits {
			c.vanished[instance] = c.doubt
			c.log.Info("endpoint's entry lapsed", "endpoint", instance, "kept_ms", c.doubt.Sub(now).Milliseconds())
		}
		return
	}
	delete(c.endpoints, instance)
	delete(c.vanished, instance)
	c.depart(instance)
	c.log.Info("endpoint gone", "endpoint", instance)
}

// dropMissing removes what a whole read of a feed did not show.
func (c *Catalog) dropMissing(f Feed, seen map[string]bool) {
	switch f {
	case Endpoints:
		for id := range c.endpoints {
			if !seen[id] {
				c.remove(id)
			}
		}
	case Peers:
		for id := range c.peers {
			if !seen[id] {
				delete(c.peers, id)
			}
		}
	case Configurations:
	}
}

// expire removes the endpoints whose time after an outage is over.
func (c *Catalog) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	any := false
	for id, until := range c.vanished {
		if now.Before(until) {
			continue
		}
		delete(c.vanished, id)
		delete(c.endpoints, id)
		c.depart(id)
		any = true
		c.log.Info("endpoint gone", "endpoint", id, "reason", "its entry did not return")
	}
	if any {
		c.publish()
	}
}

// troubled notes that the store could not be read at a moment.
func (c *Catalog) troubled(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.doubt = now.Add(c.settings.Hold)
	for id := range c.vanished {
		c.vanished[id] = c.doubt
	}
}
