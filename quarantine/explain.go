// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"slices"
	"time"
)

// explained states whether the crashes of a suspect are those of another one, which ran on the
// same endpoints and each time began later: others ran there before it without harm. The
// caller holds the lock, as for the functions below.
func (b *Book) explained(id Identity, s *suspect) bool {
	for other, o := range b.suspects {
		if other != id && o.covers(s) && o.ranFor() < s.ranFor() {
			return true
		}
	}
	return false
}

// explain takes the crashes of a request that is banned off the others that ran on the same
// endpoints and had begun before it.
func (b *Book) explain(banned *suspect) {
	for _, s := range b.suspects {
		if s == banned {
			continue
		}
		s.chain = slices.DeleteFunc(s.chain, func(one link) bool {
			return slices.ContainsFunc(banned.chain, func(cause link) bool {
				return cause.end == one.end && one.crash.Began.Before(cause.crash.Began)
			})
		})
	}
}

// ended states whether an end is one of the chain's.
func (s *suspect) ended(e *end) bool {
	return slices.ContainsFunc(s.chain, func(one link) bool { return one.end == e })
}

// covers states whether all ends of another suspect's chain are among this one's.
func (s *suspect) covers(other *suspect) bool {
	return !slices.ContainsFunc(other.chain, func(one link) bool { return !s.ended(one.end) })
}

// ranFor returns how long the attempts of the chain had been under way at the ends of their
// endpoints, in the mean; zero for an empty chain.
func (s *suspect) ranFor() time.Duration {
	sum := time.Duration(0)
	for _, one := range s.chain {
		sum += one.crash.Ended.Sub(one.crash.Began)
	}
	return sum / time.Duration(max(len(s.chain), 1))
}
