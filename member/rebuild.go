// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package member

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/linkmast/linkmast/instances"
	"github.com/linkmast/linkmast/internal/steady"
)

// viewInputs is what a view is built from, in a form that is cheap to compare.
type viewInputs struct {
	listVersion int64
	complete    bool
	stopping    bool
	// unavailableHash covers the ids of the peers that are stopping or down.
	unavailableHash uint64
}

// currentInputs returns what a view built now would be built from. The caller must hold the lock.
func (m *Member) currentInputs(now time.Time) viewInputs {
	b := viewInputs{
		listVersion: m.list.Version,
		complete:    m.complete,
		stopping:    m.stopping,
	}
	for id, stops := range m.stoppingPeers {
		if stops {
			b.unavailableHash ^= xxhash.Sum64String("stops " + id)
		}
	}
	for id := range m.fails {
		if m.isDown(id, m.listedCount, now) {
			b.unavailableHash ^= xxhash.Sum64String("down " + id)
		}
	}
	for id := range m.reports {
		if _, failed := m.fails[id]; !failed && m.isDown(id, m.listedCount, now) {
			b.unavailableHash ^= xxhash.Sum64String("down " + id)
		}
	}
	return b
}

// rebuild builds a new view if its inputs have changed, and closes the channel of Changed if the
// available instances, the endpoints or Complete differ.
func (m *Member) rebuild() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := steady.Now()
	state := m.currentInputs(now)
	if m.view.Load() != nil && state == m.viewInputs {
		return
	}
	m.viewInputs = state
	listed := make(map[string]instances.Instance)
	usable := make(map[string]instances.Instance)
	endpoints := make(map[string]instances.Instance)
	for _, i := range m.list.Instances {
		if i.Kind == instances.KindNode {
			listed[i.ID] = i
			continue
		}
		if known, ok := endpoints[i.Address]; !ok || known.State == instances.Leaving {
			endpoints[i.Address] = i
		}
	}
	self := m.settings.Self
	if _, ok := listed[self.ID]; !ok {
		listed[self.ID] = self
	}
	for id, n := range listed {
		unavailable := n.State == instances.Leaving || m.stoppingPeers[id] || m.isDown(id, len(listed), now)
		if id == self.ID {
			unavailable = m.stopping
		}
		if !unavailable {
			usable[id] = n
		}
	}
	m.listedCount = len(listed)
	old := m.view.Load()
	v := newView(listed, usable, endpoints, m.complete)
	m.view.Store(v)
	if old == nil || !sameInstances(old.Nodes, usable) || !sameInstances(old.Endpoints, endpoints) || old.Complete != v.Complete {
		m.log.Info("membership changed", "usable", len(usable), "listed", len(listed), "endpoints", len(endpoints))
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

func sameInstances(a, b map[string]instances.Instance) bool {
	if len(a) != len(b) {
		return false
	}
	for k, v := range a {
		if b[k] != v {
			return false
		}
	}
	return true
}
