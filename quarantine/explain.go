// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"slices"
	"time"
)

// isExplained reports whether another suspect explains the crashes of a suspect: its chain contains
// the same endpoint ends, and its attempts had run for a shorter time on average. The request that
// arrived last at these endpoints is the more likely cause. Requests are only explained by requests
// and parts by parts: a part that many share is at every end, too. A part that was answered before
// does not explain one that never was. The caller must hold the lock.
func (r *Registry) isExplained(id Identity, s *suspect) bool {
	for other, o := range r.suspects {
		if other != id && o.part == s.part && o.containsEndsOf(s) && o.meanRunTime() < s.meanRunTime() && (!o.answered || s.answered) {
			return true
		}
	}
	return false
}

// dropExplained removes from all other suspects the crashes that a banned request explains: those
// at the same endpoint ends whose attempts had started earlier. The caller must hold the lock.
func (r *Registry) dropExplained(banned *suspect) {
	for _, s := range r.suspects {
		if s == banned {
			continue
		}
		s.chain = slices.DeleteFunc(s.chain, func(l chainLink) bool {
			return slices.ContainsFunc(banned.chain, func(cause chainLink) bool {
				return cause.end == l.end && l.crash.StartedAt.Before(cause.crash.StartedAt)
			})
		})
	}
}

// hasEnd reports whether the chain contains an endpoint end.
func (s *suspect) hasEnd(e *endpointEnd) bool {
	return slices.ContainsFunc(s.chain, func(l chainLink) bool { return l.end == e })
}

// containsEndsOf reports whether the chain contains all endpoint ends of another suspect's chain.
func (s *suspect) containsEndsOf(other *suspect) bool {
	return !slices.ContainsFunc(other.chain, func(l chainLink) bool { return !s.hasEnd(l.end) })
}

// meanRunTime returns the mean time from the start of an attempt to its crash over the chain; zero
// for an empty chain.
func (s *suspect) meanRunTime() time.Duration {
	sum := time.Duration(0)
	for _, l := range s.chain {
		sum += l.crash.EndedAt.Sub(l.crash.StartedAt)
	}
	return sum / time.Duration(max(len(s.chain), 1))
}
