// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"math/rand/v2"
	"time"

	"github.com/linkmast/linkmast/placement"
)

// The measures of refusing at once.
const (
	// lateFrom is the part of its worth that a request must lose to count as
	// late.
	lateFrom = 0.4
	// crowdedShare is the part of the slots in use from which on a request that
	// would be late is refused: its caller is better off with another try when
	// there is room, and those who come now are in time.
	crowdedShare = 0.8
	// shedTarget is the longest target of requests that are refused at once.
	// Longer ones can wait for their place.
	shedTarget = time.Second
	// shedAfter and shedSpread are when a refused caller may come back: slots
	// become free within a second, and not all should return at once.
	shedAfter  = 600 * time.Millisecond
	shedSpread = 800 * time.Millisecond
)

// sheddable states whether a request would be late and may be refused because of it.
func (w *waiter) sheddable() bool {
	first := !w.ask.Returning && !w.ask.Again
	return w.late && first && w.ask.Target > 0 && w.ask.Target <= shedTarget
}

// crowded states whether most slots are in use.
func crowded(list []*placement.Engine) bool {
	used, all := slotsOf(list)
	return float64(used) >= crowdedShare*float64(all)
}

// slotsOf returns how many slots engines have in use, and how many they have in all.
func slotsOf(list []*placement.Engine) (used, all int) {
	for _, e := range list {
		used += e.Running()
		all += e.Slots
	}
	return used, all
}

// shed returns the refusal of a request that would be late in a crowded pool, or
// nil.
func (s *Scheduler) shed(p *state, w *waiter, now time.Time) *Refusal {
	if p.plain || !w.sheddable() || !crowded(p.usable(&w.ask, now)) {
		return nil
	}
	return &Refusal{
		Reason: "no endpoint can answer in time now",
		After:  shedAfter + rand.N(shedSpread),
	}
}
