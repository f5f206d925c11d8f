// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package notice

import (
	"maps"
	"time"
)

// Limit is a rate limit that an endpoint states.
type Limit struct {
	// Rate is in requests per second from all instances together.
	Rate float64
	// Since is when the endpoint's notice last changed at this instance.
	Since time.Time
	// startedAt is when the incarnation that states the limit started; zero if unknown.
	startedAt time.Time
}

// Age returns the time from Since to now; zero for the zero value.
func (l Limit) Age(now time.Time) time.Duration {
	if l.Since.IsZero() {
		return 0
	}
	return now.Sub(l.Since)
}

// View is an immutable snapshot of a Registry. The zero value contains no endpoints.
type View struct {
	// limits are the limits in force, by endpoint.
	limits map[string]Limit
	// leaving holds the start time of each endpoint that is leaving; zero if unknown.
	leaving map[string]time.Time
	// backoffs are the back-offs that endpoints asked of this instance, by endpoint.
	backoffs map[string]backoff
}

// backoff is the end of an endpoint's back-off.
type backoff struct {
	until time.Time
	// startedAt is when the incarnation that asked for the back-off started; zero if unknown.
	startedAt time.Time
}

// Limit returns the rate limit that an incarnation of an endpoint states. The start time is zero if
// unknown.
func (v *View) Limit(instance string, startedAt time.Time) (Limit, bool) {
	l, limited := v.limits[instance]
	if !limited || restartedSince(l.startedAt, startedAt) {
		return Limit{}, false
	}
	return l, true
}

// IsLeaving reports whether an incarnation of an endpoint is leaving. The start time is zero if
// unknown.
func (v *View) IsLeaving(instance string, startedAt time.Time) bool {
	leavingStart, leaves := v.leaving[instance]
	return leaves && !restartedSince(leavingStart, startedAt)
}

// BackoffUntil returns the end of the back-off that an incarnation of an endpoint asked of this
// instance, or the zero time if it didn't ask. The start time is zero if unknown.
func (v *View) BackoffUntil(instance string, startedAt time.Time) time.Time {
	b, known := v.backoffs[instance]
	if !known || restartedSince(b.startedAt, startedAt) {
		return time.Time{}
	}
	return b.until
}

// BackedOff returns the endpoints that have asked this instance for a back-off, in any order. Some
// of the back-offs may be over.
func (v *View) BackedOff() []string {
	return keys(v.backoffs)
}

// AnyLimited reports whether any endpoint states a rate limit.
func (v *View) AnyLimited() bool { return len(v.limits) > 0 }

// AnyLeaving reports whether any endpoint is leaving.
func (v *View) AnyLeaving() bool { return len(v.leaving) > 0 }

// Limited returns the endpoints that state a rate limit, in any order.
func (v *View) Limited() []string {
	return keys(v.limits)
}

// Leaving returns the endpoints that are leaving, in any order.
func (v *View) Leaving() []string {
	return keys(v.leaving)
}

// keys returns the keys of a map in any order.
func keys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	return out
}

// restartedSince reports whether an endpoint that started at startedAt is a newer incarnation than
// the one that a notice is about. It returns false if either time is unknown.
func restartedSince(noticeStart, startedAt time.Time) bool {
	return !noticeStart.IsZero() && noticeStart.Before(startedAt)
}

// withEndpoint returns a copy of the view with the state of one endpoint replaced. Back-offs that
// are over are dropped.
func (v *View) withEndpoint(e *endpointState, now time.Time) *View {
	next := &View{
		limits:   without(v.limits, e.Instance),
		leaving:  without(v.leaving, e.Instance),
		backoffs: without(v.backoffs, e.Instance),
	}
	maps.DeleteFunc(next.backoffs, func(_ string, b backoff) bool { return !b.until.After(now) })
	if e.Limited {
		next.limits[e.Instance] = Limit{
			Rate:      e.Rate,
			Since:     e.changedAt,
			startedAt: e.StartedAt,
		}
	}
	if e.Leaving {
		next.leaving[e.Instance] = e.StartedAt
	}
	if e.backoffUntil.After(now) {
		next.backoffs[e.Instance] = backoff{
			until:     e.backoffUntil,
			startedAt: e.StartedAt,
		}
	}
	return next
}

// without returns a copy of a map without one key.
func without[V any](m map[string]V, key string) map[string]V {
	out := make(map[string]V, len(m)+1)
	for k, v := range m {
		if k != key {
			out[k] = v
		}
	}
	return out
}
