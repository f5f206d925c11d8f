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
	// endpoint whose incarnations aren't known.
	sameEndWindow = time.Second
	// commonCauseWindow is the most time between the ends of two endpoints that are attributed to a
	// common cause. It covers the delays with which instances notice an end.
	commonCauseWindow = 50 * time.Millisecond
	// SettleDelay is the time from the report of a crash until the registry decides whether it
	// counts. Until then a suspected request that crashed its endpoint isn't sent again.
	SettleDelay = 2 * commonCauseWindow
	// endRetention is the least time for which the end of an endpoint is kept, unless the endpoint
	// ends again. Older ones are removed when a new one is recorded.
	endRetention = 10 * time.Second
	// maxIdentitiesPerEnd bounds the requests and parts that are recorded for one end. It exceeds
	// the number of slots of an engine with some parts for each.
	maxIdentitiesPerEnd = 512
)

// endpointEnd is one end of an endpoint.
type endpointEnd struct {
	at time.Time
	// incarnation is the process of the endpoint that ended; zero if unknown.
	incarnation Incarnation
	// identities are the requests that the endpoint was running, and their parts, as far as
	// reported.
	identities []Identity
}

// recordEnd returns the end of an endpoint that a crash reports, a new one unless it was reported
// before, and adds the crash's identity to it. The caller must hold the lock.
func (r *Registry) recordEnd(c Crash, now time.Time) *endpointEnd {
	e := r.ends[c.Endpoint]
	if e == nil || !e.matches(c) {
		maps.DeleteFunc(r.ends, func(_ string, old *endpointEnd) bool { return now.Sub(old.at) > endRetention })
		e = &endpointEnd{
			at:          c.EndedAt,
			incarnation: c.Incarnation,
		}
		r.ends[c.Endpoint] = e
	}
	e.add(c.Identity)
	for _, part := range c.Parts {
		e.add(part)
	}
	return e
}

// matches reports whether a crash of the endpoint is this end of it. An attempt that was started later, on
// another incarnation, shows that the endpoint has restarted in between. Of an attempt from before the end,
// the incarnation may be an outdated one.
func (e *endpointEnd) matches(c Crash) bool {
	restarted := e.incarnation != 0 && c.Incarnation != 0 && e.incarnation != c.Incarnation && c.StartedAt.After(e.at)
	return !restarted && c.EndedAt.Sub(e.at).Abs() <= sameEndWindow
}

// add records an identity, unless there are too many.
func (e *endpointEnd) add(id Identity) {
	if len(e.identities) < maxIdentitiesPerEnd && !slices.Contains(e.identities, id) {
		e.identities = append(e.identities, id)
	}
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

// linkOf returns the suspect whose chain has an attempt, and the index of the attempt's link; nil if
// there is none. The caller must hold the lock.
func (r *Registry) linkOf(id Identity, attempt string) (*suspect, int) {
	s := r.suspects[id]
	if s == nil {
		return nil, 0
	}
	i := s.indexOfAttempt(attempt)
	if i < 0 {
		return nil, 0
	}
	return s, i
}

// dropIfCommon removes a link of a chain whose endpoint ended together with others, and reports
// whether it did. The caller must hold the lock.
func (r *Registry) dropIfCommon(id Identity, s *suspect, i int) bool {
	if !r.hasCommonCause(id, s, s.chain[i].end) {
		return false
	}
	r.stats.Common++
	s.chain = slices.Delete(s.chain, i, i+1)
	return true
}

// limit returns the number of crashes in a row that ban an identity: one if an earlier ban is still
// kept. The caller must hold the lock.
func (r *Registry) limit(id Identity) int {
	if r.retainedBan(id, r.now()) != nil {
		return 1
	}
	return crashLimit
}

// surveyAndBan bans an identity if the endpoint of the crash that reached the limit ended alone.
// Endpoints that ran no request may have ended with it, which nobody has reported then.
func (r *Registry) surveyAndBan(id Identity, attempt, endpoint string, endedAt time.Time) {
	ended := r.deps.Survey(endpoint, endedAt.Add(-commonCauseWindow))
	r.mu.Lock()
	defer r.mu.Unlock()
	s, i := r.linkOf(id, attempt)
	if s == nil {
		return
	}
	r.recordSurveyed(ended, s.chain[i].end)
	if r.dropIfCommon(id, s, i) {
		r.log.Info("other endpoints ended with that of the request", "identity", id.String(), "attempt", attempt, "others", len(ended))
		return
	}
	if s.settledCount() >= r.limit(id) {
		r.ban(id, r.now())
	}
}

// recordSurveyed records the endpoints that a survey found ended beside an end that was reported,
// except for those whose ends are known. An endpoint that has restarted since its known end has ended
// anew. The caller must hold the lock.
func (r *Registry) recordSurveyed(ended []EndedEndpoint, beside *endpointEnd) {
	for _, e := range ended {
		known := r.ends[e.Address]
		if known == nil || beside.at.Sub(known.at) > sameEndWindow && known.incarnation != 0 && known.incarnation != e.Incarnation {
			r.ends[e.Address] = &endpointEnd{
				at:          beside.at,
				incarnation: e.Incarnation,
			}
		}
	}
}

// settle decides whether a crash counts. At the limit it decides on a ban of the identity; one crash
// before the limit it notifies the listeners of the suspicion.
func (r *Registry) settle(id Identity, attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, i := r.linkOf(id, attempt)
	if s == nil || r.dropIfCommon(id, s, i) {
		return
	}
	s.chain[i].settled = true
	r.stats.Counted++
	n, limit := s.settledCount(), r.limit(id)
	r.log.Info("request crashed its endpoint", "identity", id.String(), "attempt", attempt, "in_a_row", n, "limit", limit)
	switch {
	case n >= limit && r.isExplained(id, s):
		r.stats.Common++
		s.chain = nil
	case n >= limit && r.deps.Survey != nil:
		end := s.chain[i].crash
		go r.surveyAndBan(id, attempt, end.Endpoint, end.EndedAt)
	case n >= limit:
		r.ban(id, r.now())
	case n == limit-1:
		r.notifyListeners(suspicion(id, s))
	}
}
