// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"slices"
	"time"
)

// isExplained states whether the crashes of a suspect are those of another one, which ran on the
// same endpoints and each time began later: others ran there before it without harm. The
// caller holds the lock, as for the functions below.
func (r *Registry) isExplained(id Identity, s *suspect) bool {
	for other, o := range r.suspects {
		if other != id && o.containsEndsOf(s) && o.meanRunTime() < s.meanRunTime() {
			return true
		}
	}
	return false
}

// dropExplained takes the crashes of a request that is banned off the others that ran on the same
// endpoints and had begun before it.
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

// hasEnd states whether an end is one of the chain's.
func (s *suspect) hasEnd(e *endpointEnd) bool {
	return slices.ContainsFunc(s.chain, func(l chainLink) bool { return l.end == e })
}

// containsEndsOf states whether all ends of another suspect's chain are among this one's.
func (s *suspect) containsEndsOf(other *suspect) bool {
	return !slices.ContainsFunc(other.chain, func(l chainLink) bool { return !s.hasEnd(l.end) })
}

// meanRunTime returns how long the attempts of the chain had been under way at the ends of their
// endpoints, in the mean; zero for an empty chain.
func (s *suspect) meanRunTime() time.Duration {
	sum := time.Duration(0)
	for _, l := range s.chain {
		sum += l.crash.EndedAt.Sub(l.crash.StartedAt)
	}
	return sum / time.Duration(max(len(s.chain), 1))
}
