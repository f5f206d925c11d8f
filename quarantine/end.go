// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"maps"
	"slices"
	"time"
)

// The measures of the ends of endpoints.
const (
	// sameEndWindow is how far apart reports of one end of an endpoint may lie: an instance may
	// notice it by silence, and an endpoint that starts again takes some seconds.
	sameEndWindow = time.Second
	// commonCauseWindow is how far apart endpoints end that have a cause in common: the ends of the
	// answers of one engine reached six instances within 7 ms (incident), and busy ones take
	// some tens.
	commonCauseWindow = 50 * time.Millisecond
	// SettleDelay is how long a crash is not counted, so that it is known what else ended at
	// that moment. Who sends a suspected request again waits for as long.
	SettleDelay = 2 * commonCauseWindow
	// endRetention is how long an end is kept.
	endRetention = 2 * time.Second
	// maxIdentitiesPerEnd bounds the requests that an end is known to have run: more than engines
	// have slots.
	maxIdentitiesPerEnd = 64
)

// endpointEnd is the endpointEnd of an endpoint.
type endpointEnd struct {
	at time.Time
	// identities are the requests that it identities, as far as they were reported.
	identities []Identity
}

// recordEnd returns the end of an endpoint that a crash tells of. The caller holds the lock, as
// for the functions below.
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

// hasCommonCause states whether an endpoint ended together with one that did not run the requests of a
// suspect, so that these are not what ended them. Those of a joint reading ran it: when their
// ends were known from other requests alone, a prompt that crashes its readers reached 6 to 11
// attempts and was not banned (test with six engines that answer others).
func (r *Registry) hasCommonCause(id Identity, s *suspect, e *endpointEnd) bool {
	for address, other := range r.ends {
		if other == e || other.at.Sub(e.at).Abs() > commonCauseWindow {
			continue
		}
		if !slices.Contains(other.identities, id) && !s.ranOnHelper(address) {
			return true
		}
	}
	return false
}

// settle counts a crash unless it has another cause, and bans the identity if it is one too
// many.
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
