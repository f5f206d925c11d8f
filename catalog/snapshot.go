// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"maps"
	"time"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/quarantine"
	"github.com/linkmast/linkmast/route"
)

// Snapshot is what was known at one moment. It never changes.
type Snapshot struct {
	// Table is the configuration in force.
	Table *route.Table
	// Complete states that the endpoints and the instances are known, too: without the
	// former nothing can be served, and without the latter it is not known who owns a
	// pool. An instance that starts may know the configuration first.
	Complete bool
	// Endpoints are all endpoints by instance, leaving ones included.
	Endpoints map[string]Endpoint
	// Departed are the endpoints that leave or are gone, for departedFor after
	// this became known. Another instance may not know of it yet.
	Departed map[string]time.Time
	// Drained are the failure domains whose endpoints get nothing new, with when this
	// became known.
	Drained map[string]time.Time
	// Banned are the requests that are kept from endpoints, by their identity.
	Banned map[quarantine.Identity]quarantine.Verdict
	// Peers are all instances by id, this one included.
	Peers map[string]Peer
}

// departedFor is how long endpoints that are gone are remembered: longer than
// outages of the store usually last.
const departedFor = 2 * time.Minute

// DepartedEndpoints returns the endpoints that must get nothing new, in any order.
func (s *Snapshot) DepartedEndpoints() []string {
	out := make([]string, 0, len(s.Departed))
	for instance := range s.Departed {
		out = append(out, instance)
	}
	return out
}

// HasDeparted states whether an endpoint must get nothing new.
func (s *Snapshot) HasDeparted(instance string) bool {
	_, gone := s.Departed[instance]
	return gone
}

// Unavailable states whether an endpoint must get nothing new, by itself or as its failure
// domain is emptied.
func (s *Snapshot) Unavailable(instance string) bool {
	if s.HasDeparted(instance) {
		return true
	}
	_, emptied := s.Drained[s.Endpoints[instance].FailureDomain]
	return emptied
}

// publish makes what is known visible. The caller holds the lock.
func (c *Catalog) publish() {
	close(c.changed)
	c.changed = make(chan struct{})
	if c.table == nil {
		return
	}
	_, endpoints := c.next[Endpoints]
	_, instances := c.next[Peers]
	s := &Snapshot{
		Table:     c.table,
		Complete:  endpoints && instances,
		Endpoints: c.endpoints.share(),
		Departed:  make(map[string]time.Time, len(c.departed)),
		Drained:   maps.Clone(c.drained),
		Banned:    maps.Clone(c.banned),
		Peers:     c.peers.share(),
	}
	for k, at := range c.departed {
		if steady.Since(at) > departedFor {
			delete(c.departed, k)
			c.incarnations.forget(k, c.endpoints.values)
			continue
		}
		s.Departed[k] = at
	}
	c.snapshot.Store(s)
}
