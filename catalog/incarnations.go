// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import "time"

// incarnations is when the newest known life of each endpoint started, by name. It has those
// that say so, and those that are gone for as long as their departure is remembered: an
// entry that an older life wrote may come after the end of a newer one.
type incarnations map[string]time.Time

// accept takes over an entry's life, and returns false when it is older than the newest one.
// An entry that does not say when its endpoint started counts as one of the newest life.
func (l incarnations) accept(e Endpoint) bool {
	if e.StartedAt.IsZero() {
		return true
	}
	if e.StartedAt.Before(l[e.Instance]) {
		return false
	}
	l[e.Instance] = e.StartedAt
	return true
}

// forget forgets an endpoint unless it is there.
func (l incarnations) forget(name string, there map[string]Endpoint) {
	if _, known := there[name]; !known {
		delete(l, name)
	}
}
