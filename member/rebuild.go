// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package member

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/linkmast/linkmast/instances"
	"github.com/linkmast/linkmast/internal/steady"
)

// built is what a view was made from.
type built struct {
	list     int64
	complete bool
	stopping bool
	out      uint64
}

// state returns what a view made now would be made from. The caller holds the
// lock.
func (m *Member) state(now time.Time) built {
	b := built{
		list:     m.list.Version,
		complete: m.complete,
		stopping: m.stopping,
	}
	for id, stops := range m.stops {
		if stops {
			b.out ^= xxhash.Sum64String("stops " + id)
		}
	}
	for id := range m.fails {
		if m.down(id, m.peers, now) {
			b.out ^= xxhash.Sum64String("down " + id)
		}
	}
	for id := range m.reports {
		if _, failed := m.fails[id]; !failed && m.down(id, m.peers, now) {
			b.out ^= xxhash.Sum64String("down " + id)
		}
	}
	return b
}

// rebuild makes the view anew when something has changed, and announces it.
func (m *Member) rebuild() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := steady.Now()
	state := m.state(now)
	if m.view.Load() != nil && state == m.built {
		return
	}
	m.built = state
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
		out := n.State == instances.Leaving || m.stops[id] || m.down(id, len(listed), now)
		if id == self.ID {
			out = m.stopping
		}
		if !out {
			usable[id] = n
		}
	}
	m.peers = len(listed)
	old := m.view.Load()
	v := newView(listed, usable, endpoints, m.complete)
	m.view.Store(v)
	if old == nil || !sameNodes(old.Nodes, usable) || !sameNodes(old.Endpoints, endpoints) || old.Complete != v.Complete {
		m.log.Info("members", "usable", len(usable), "listed", len(listed), "endpoints", len(endpoints))
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

func sameNodes(a, b map[string]instances.Instance) bool {
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
