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
	// startedAt is when the start of the endpoint began that names it; zero when it does not say.
	startedAt time.Time
}

// Age returns for how long this instance has known of it at a moment; zero for the zero value.
func (l Limit) Age(now time.Time) time.Duration {
	if l.Since.IsZero() {
		return 0
	}
	return now.Sub(l.Since)
}

// View is what a Registry knew of all endpoints at one moment. It never changes. The zero value
// knows nothing.
type View struct {
	// limits are the limits in force, by endpoint.
	limits map[string]Limit
	// leaving has when the start began of each endpoint that leaves; zero when it does not say.
	leaving map[string]time.Time
	// backoffs are the endpoints that want nothing from this instance.
	backoffs map[string]backoff
}

// backoff is until when an endpoint wants nothing from this instance.
type backoff struct {
	until time.Time
	// startedAt is when the start of the endpoint began that asked; zero when it does not say.
	startedAt time.Time
}

// Limit returns the rate limit that an endpoint names. Born is when its start began; zero when it
// does not say.
func (v *View) Limit(instance string, born time.Time) (Limit, bool) {
	l, limited := v.limits[instance]
	if !limited || restartedSince(l.startedAt, born) {
		return Limit{}, false
	}
	return l, true
}

// IsLeaving states whether an endpoint says that it leaves. Born is when its start began; zero when it
// does not say.
func (v *View) IsLeaving(instance string, born time.Time) bool {
	of, leaves := v.leaving[instance]
	return leaves && !restartedSince(of, born)
}

// BackoffUntil returns until when an endpoint wants nothing from this instance; the zero time for
// one that has not asked for that. Born is when its start began; zero when it does not say.
func (v *View) BackoffUntil(instance string, born time.Time) time.Time {
	r, known := v.backoffs[instance]
	if !known || restartedSince(r.startedAt, born) {
		return time.Time{}
	}
	return r.until
}

// BackedOff returns the endpoints that have asked this instance for a back-off, in any order. Those
// of some may have ended.
func (v *View) BackedOff() []string {
	return keys(v.backoffs)
}

// AnyLimited states whether any endpoint names a rate limit.
func (v *View) AnyLimited() bool { return len(v.limits) > 0 }

// AnyLeaving states whether any endpoint leaves.
func (v *View) AnyLeaving() bool { return len(v.leaving) > 0 }

// Limited returns the endpoints that name a rate limit, in any order.
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

// restartedSince states whether an endpoint has started again since the start that a notice is
// of.
func restartedSince(notice, born time.Time) bool {
	return !notice.IsZero() && notice.Before(born)
}

// withEndpoint returns the view withEndpoint what is known of an endpoint at a moment. Back-offs that have ended
// are left out.
func (v *View) withEndpoint(k *endpointState, now time.Time) *View {
	next := &View{
		limits:   without(v.limits, k.Instance),
		leaving:  without(v.leaving, k.Instance),
		backoffs: without(v.backoffs, k.Instance),
	}
	maps.DeleteFunc(next.backoffs, func(_ string, r backoff) bool { return !r.until.After(now) })
	if k.Limited {
		next.limits[k.Instance] = Limit{
			Rate:      k.Rate,
			Since:     k.changedAt,
			startedAt: k.StartedAt,
		}
	}
	if k.Leaving {
		next.leaving[k.Instance] = k.StartedAt
	}
	if k.backoffUntil.After(now) {
		next.backoffs[k.Instance] = backoff{
			until:     k.backoffUntil,
			startedAt: k.StartedAt,
		}
	}
	return next
}

// without returns a copy of a map that lacks a key.
func without[V any](m map[string]V, key string) map[string]V {
	out := make(map[string]V, len(m)+1)
	for k, v := range m {
		if k != key {
			out[k] = v
		}
	}
	return out
}
