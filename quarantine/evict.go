// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// evictionDivisor is the ratio of the capacity to the entries that are evicted at once, so that a
// full registry isn't sorted at every addition.
const evictionDivisor = 4

// evictSuspects removes expired suspects and, if the registry is still full, a quarter of its
// capacity: those with the fewest crashes first, and the oldest of these. The caller must hold the
// lock.
func (r *Registry) evictSuspects(now time.Time) {
	maps.DeleteFunc(r.suspects, func(_ Identity, s *suspect) bool { return now.Sub(s.lastSeen) > suspectRetention })
	if len(r.suspects) < maxSuspects {
		return
	}
	ids := slices.SortedFunc(maps.Keys(r.suspects), func(x, y Identity) int {
		a, c := r.suspects[x], r.suspects[y]
		return cmp.Or(cmp.Compare(len(a.chain), len(c.chain)), a.lastSeen.Compare(c.lastSeen))
	})
	for _, id := range ids[:maxSuspects/evictionDivisor] {
		delete(r.suspects, id)
	}
}

// evictBans removes the bans whose retention time is over, and always at least a quarter of the
// capacity: those that end first. The caller must hold the lock.
func (r *Registry) evictBans(now time.Time) {
	ids := slices.SortedFunc(maps.Keys(r.bans), func(x, y Identity) int {
		return r.bans[x].until.Compare(r.bans[y].until)
	})
	for i, id := range ids {
		b := r.bans[id]
		if i >= maxBans/evictionDivisor && !now.After(b.retainUntil()) {
			continue
		}
		delete(r.bans, id)
		if b.recorded {
			r.pendingErasures[id] = now
		}
	}
}
