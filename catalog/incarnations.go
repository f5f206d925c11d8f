// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import "time"

// incarnations maps the name of an endpoint to the start time of its newest known incarnation.
// Removed endpoints are kept while their departure is remembered, because an entry of an older
// incarnation may arrive after the newest one has ended.
type incarnations map[string]time.Time

// accept records the start time of an entry, and returns false if the entry belongs to an older
// incarnation. Entries without a start time are accepted.
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

// forget deletes the start time of an endpoint that is not among the present ones.
func (l incarnations) forget(name string, present map[string]Endpoint) {
	if _, known := present[name]; !known {
		delete(l, name)
	}
}
