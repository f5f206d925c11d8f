// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// evictionFraction is the part of what is remembered that goes when there is too much, so that it
// is looked through once in many additions.
const evictionFraction = 4

// evictSuspects makes room: what is over goes, and if that is not enough those of the
// fewest crashes, the oldest of them first. The caller holds the lock, as for the functions
// below.
func (r *Registry) evictSuspects(now time.Time) {
	maps.DeleteFunc(r.suspects, func(_ Identity, s *suspect) bool { return now.Sub(s.lastSeen) > suspectRetention })
	if len(r.suspects) < maxSuspects {
		return
	}
	ids := slices.SortedFunc(maps.Keys(r.suspects), func(x, y Identity) int {
		a, c := r.suspects[x], r.suspects[y]
		return cmp.Or(cmp.Compare(len(a.chain), len(c.chain)), a.lastSeen.Compare(c.lastSeen))
	})
	for _, id := range ids[:maxSuspects/evictionFraction] {
		delete(r.suspects, id)
	}
}

// evictBans makes room: bans that are over and remembered for long enough go, and if that
// is not enough those that end first.
func (r *Registry) evictBans(now time.Time) {
	ids := slices.SortedFunc(maps.Keys(r.bans), func(x, y Identity) int {
		return r.bans[x].until.Compare(r.bans[y].until)
	})
	for i, id := range ids {
		b := r.bans[id]
		if i >= maxBans/evictionFraction && !now.After(b.retainUntil()) {
			continue
		}
		delete(r.bans, id)
		if b.recorded {
			r.pendingErasures[id] = now
		}
	}
}
