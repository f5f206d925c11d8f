// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import "maps"

// cowMap is a copy-on-write map that is shared with snapshots: the first change after the map
// was shared copies it. The zero value is empty.
type cowMap[V comparable] struct {
	values map[string]V
	// shared is set if a snapshot uses values.
	shared bool
}

// get returns the value of a key and whether it exists.
func (m *cowMap[V]) get(key string) (V, bool) {
	v, ok := m.values[key]
	return v, ok
}

// len returns the number of keys.
func (m *cowMap[V]) len() int {
	return len(m.values)
}

// set sets the value of a key, without a copy if the value is unchanged.
func (m *cowMap[V]) set(key string, v V) {
	if old, known := m.values[key]; known && old == v {
		return
	}
	m.unshare()
	m.values[key] = v
}

// remove deletes a key, if it exists.
func (m *cowMap[V]) remove(key string) {
	if _, known := m.values[key]; !known {
		return
	}
	m.unshare()
	delete(m.values, key)
}

// unshare copies the values if a snapshot uses them.
func (m *cowMap[V]) unshare() {
	switch {
	case m.values == nil:
		m.values = make(map[string]V)
	case m.shared:
		m.values = maps.Clone(m.values)
	}
	m.shared = false
}

// share returns the values, which the caller must not change.
func (m *cowMap[V]) share() map[string]V {
	if m.values == nil {
		m.values = make(map[string]V)
	}
	m.shared = true
	return m.values
}
