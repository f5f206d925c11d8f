// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package notice

import (
	"maps"
	"time"
)

// Limit is a rate limit that an endpoint names.
type Limit struct {
	// Rate is in requests a second from all instances together.
	Rate float64
	// Since is when this instance learned of it.
	Since time.Time
	// born is when the start of the endpoint began that names it; zero when it does not say.
	born time.Time
}

// Age returns for how long this instance has known of it at a moment; zero for the zero value.
func (l Limit) Age(now time.Time) time.Duration {
	if l.Since.IsZero() {
		return 0
	}
	return now.Sub(l.Since)
}

// View is what a Book knew of all endpoints at one moment. It never changes. The zero value
// knows nothing.
type View struct {
	// limits are the limits in force, by endpoint.
	limits map[string]Limit
	// leaving has when the start began of each endpoint that leaves; zero when it does not say.
	leaving map[string]time.Time
}

// Limit returns the rate limit that the start of an endpoint names which began at a moment;
// zero means that it does not say.
func (v *View) Limit(instance string, born time.Time) (Limit, bool) {
	l, limited := v.limits[instance]
	if !limited || startedSince(l.born, born) {
		return Limit{}, false
	}
	return l, true
}

// Leaves states whether the start of an endpoint leaves which began at a moment; zero means
// that it does not say.
func (v *View) Leaves(instance string, born time.Time) bool {
	of, leaves := v.leaving[instance]
	return leaves && !startedSince(of, born)
}

// Limited returns the endpoints that name a rate limit, and Leaving those that leave, each in
// any order.
func (v *View) Limited() []string {
	return keys(v.limits)
}

// Leaving returns the endpoints that leave, in any order.
func (v *View) Leaving() []string {
	return keys(v.leaving)
}

// keys returns the keys of a map.
func keys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	return out
}

// startedSince states whether an endpoint has started again since the start that a notice is
// of.
func startedSince(notice, born time.Time) bool {
	return !notice.IsZero() && notice.Before(born)
}

// with returns the view with another notice of an endpoint.
func (v *View) with(k *known) *View {
	next := &View{
		limits:  maps.Clone(v.limits),
		leaving: maps.Clone(v.leaving),
	}
	delete(next.limits, k.Instance)
	delete(next.leaving, k.Instance)
	if k.Limited {
		if next.limits == nil {
			next.limits = make(map[string]Limit)
		}
		next.limits[k.Instance] = Limit{
			Rate:  k.Rate,
			Since: k.changed,
			born:  k.Born,
		}
	}
	if k.Leaving {
		if next.leaving == nil {
			next.leaving = make(map[string]time.Time)
		}
		next.leaving[k.Instance] = k.Born
	}
	return next
}
