// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"maps"
	"time"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/quarantine"
	"github.com/linkmast/linkmast/route"
)

// Snapshot is an immutable copy of the catalog's data at one moment.
type Snapshot struct {
	// Table is the configuration in force.
	Table *route.Table
	// Complete is set if the endpoints and the instances are known as well. A starting instance
	// may know the configuration first, but without the endpoints it can't serve requests, and
	// without the instances it can't determine the owners of pools.
	Complete bool
	// Endpoints are all known endpoints by name, including leaving ones.
	Endpoints map[string]Endpoint
	// Departed maps each leaving or removed endpoint to the time at which this instance learned
	// of its departure. Entries are kept for at least departedFor, because another instance may
	// learn of the departure later.
	Departed map[string]time.Time
	// Drained maps each drained failure domain to the time at which this instance learned of the
	// drain. The endpoints of these domains must receive no new requests.
	Drained map[string]time.Time
	// Banned are the banned requests by identity.
	Banned map[quarantine.Identity]quarantine.Verdict
	// Peers are all known instances by ID, including this one once its entry is known.
	Peers map[string]Peer
}

// departedFor is the minimum time for which departed endpoints are kept in Departed; the first
// snapshot after it omits them. It exceeds the usual duration of an outage of the store.
const departedFor = 2 * time.Minute

// DepartedEndpoints returns the names of the leaving and recently removed endpoints, which must
// receive no new requests, in any order.
func (s *Snapshot) DepartedEndpoints() []string {
	out := make([]string, 0, len(s.Departed))
	for instance := range s.Departed {
		out = append(out, instance)
	}
	return out
}

// HasDeparted reports whether an endpoint is leaving or was removed recently.
func (s *Snapshot) HasDeparted(instance string) bool {
	_, departed := s.Departed[instance]
	return departed
}

// Unavailable reports whether an endpoint must receive no new requests, because it has departed
// or its failure domain is drained.
func (s *Snapshot) Unavailable(instance string) bool {
	if s.HasDeparted(instance) {
		return true
	}
	_, drained := s.Drained[s.Endpoints[instance].FailureDomain]
	return drained
}

// publish stores a new snapshot, if a configuration is known, and notifies the receivers of
// Changed. The caller holds the lock.
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
