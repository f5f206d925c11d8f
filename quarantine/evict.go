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
func (b *Registry) evictSuspects(now time.Time) {
	maps.DeleteFunc(b.suspects, func(_ Identity, s *suspect) bool { return now.Sub(s.lastSeen) > suspectRetention })
	if len(b.suspects) < maxSuspects {
		return
	}
	ids := slices.SortedFunc(maps.Keys(b.suspects), func(x, y Identity) int {
		a, c := b.suspects[x], b.suspects[y]
		return cmp.Or(cmp.Compare(len(a.chain), len(c.chain)), a.lastSeen.Compare(c.lastSeen))
	})
	for _, id := range ids[:maxSuspects/evictionFraction] {
		delete(b.suspects, id)
	}
}

// evictBans makes room: bans that are over and remembered for long enough go, and if that
// is not enough those that end first.
func (b *Registry) evictBans(now time.Time) {
	ids := slices.SortedFunc(maps.Keys(b.bans), func(x, y Identity) int {
		return b.bans[x].until.Compare(b.bans[y].until)
	})
	for i, id := range ids {
		one := b.bans[id]
		if i >= maxBans/evictionFraction && !now.After(one.retainUntil()) {
			continue
		}
		delete(b.bans, id)
		if one.recorded {
			b.pendingErasures[id] = now
		}
	}
}
