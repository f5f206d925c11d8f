// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import "maps"

// cowMap is a map that snapshots share. It is copied at the first change after it was
// shared, so that a change of one part of what is known copies no other part. The zero value
// is empty.
type cowMap[V comparable] struct {
	values map[string]V
	// shared states that a snapshot has the values.
	shared bool
}

// get returns the value of a key.
func (m *cowMap[V]) get(key string) (V, bool) {
	v, ok := m.values[key]
	return v, ok
}

// len returns how many keys there are.
func (m *cowMap[V]) len() int {
	return len(m.values)
}

// set sets the value of a key.
func (m *cowMap[V]) set(key string, v V) {
	if old, known := m.values[key]; known && old == v {
		return
	}
	m.unshare()
	m.values[key] = v
}

// remove removes a key.
func (m *cowMap[V]) remove(key string) {
	if _, known := m.values[key]; !known {
		return
	}
	m.unshare()
	delete(m.values, key)
}

// unshare makes the values those of this map alone.
func (m *cowMap[V]) unshare() {
	switch {
	case m.values == nil:
		m.values = make(map[string]V)
	case m.shared:
		m.values = maps.Clone(m.values)
	}
	m.shared = false
}

// share returns the values, which must not be changed by who gets them.
func (m *cowMap[V]) share() map[string]V {
	if m.values == nil {
		m.values = make(map[string]V)
	}
	m.shared = true
	return m.values
}
