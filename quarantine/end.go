// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"maps"
	"slices"
	"time"
)

// The limits for matching the ends of endpoints.
const (
	// sameEndWindow is the greatest difference between the times that two reports give for the same
	// end of an endpoint. It covers detection by silence and is shorter than the restart of an
	// endpoint.
	sameEndWindow = time.Second
	// commonCauseWindow is the most time between the ends of two endpoints that are attributed to a
	// common cause. It covers the delays with which instances notice an end.
	commonCauseWindow = 50 * time.Millisecond
	// SettleDelay is the time from the report of a crash until the registry decides whether it
	// counts. Until then a suspected request that crashed its endpoint isn't sent again.
	SettleDelay = 2 * commonCauseWindow
	// endRetention is the least time for which the end of an endpoint is kept, unless the endpoint
	// ends again. Older ones are removed when a new one is recorded.
	endRetention = 2 * time.Second
	// maxIdentitiesPerEnd bounds the requests that are recorded for one end. It exceeds the number
	// of slots of an engine.
	maxIdentitiesPerEnd = 64
)

// endpointEnd is one end of an endpoint.
type endpointEnd struct {
	at time.Time
	// identities are the requests that the endpoint was running, as far as reported.
	identities []Identity
}

// recordEnd returns the end of an endpoint that a crash reports, a new one unless it was reported
// before, and adds the crash's identity to it. The caller must hold the lock.
func (r *Registry) recordEnd(c Crash, now time.Time) *endpointEnd {
	e := r.ends[c.Endpoint]
	if e == nil || c.EndedAt.Sub(e.at).Abs() > sameEndWindow {
		maps.DeleteFunc(r.ends, func(_ string, old *endpointEnd) bool { return now.Sub(old.at) > endRetention })
		e = &endpointEnd{
			at: c.EndedAt,
		}
		r.ends[c.Endpoint] = e
	}
	if len(e.identities) < maxIdentitiesPerEnd && !slices.Contains(e.identities, c.Identity) {
		e.identities = append(e.identities, c.Identity)
	}
	return e
}

// hasCommonCause reports whether an endpoint that did not run the suspect's requests ended at the
// same time as e, so that the suspect's requests are not the cause. An endpoint that took part in a
// joint prefill of the suspect counts as having run it, even if its end was reported only by other
// requests. The caller must hold the lock.
func (r *Registry) hasCommonCause(id Identity, s *suspect, e *endpointEnd) bool {
	for address, other := range r.ends {
		if other == e || other.at.Sub(e.at).Abs() > commonCauseWindow {
			continue
		}
		if !slices.Contains(other.identities, id) && !s.inJointPrefill(address) {
			return true
		}
	}
	return false
}

// settle decides whether a crash counts. At the limit it bans the identity, unless another suspect
// explains the crashes; one crash before the limit it notifies the listeners of the suspicion.
func (r *Registry) settle(id Identity, attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.suspects[id]
	if s == nil {
		return
	}
	i := s.indexOfAttempt(attempt)
	if i < 0 {
		return
	}
	if r.hasCommonCause(id, s, s.chain[i].end) {
		r.stats.Common++
		s.chain = slices.Delete(s.chain, i, i+1)
		return
	}
	s.chain[i].settled = true
	r.stats.Counted++
	now := r.now()
	limit := crashLimit
	if r.retainedBan(id, now) != nil {
		limit = 1
	}
	n := s.settledCount()
	r.log.Info("request crashed its endpoint", "identity", id.String(), "attempt", attempt, "in_a_row", n, "limit", limit)
	switch {
	case n >= limit && r.isExplained(id, s):
		r.stats.Common++
		s.chain = nil
	case n >= limit:
		r.ban(id, now)
	case n == limit-1:
		r.notifyListeners(Verdict{
			Identity: id,
			State:    Suspected,
		})
	}
}
