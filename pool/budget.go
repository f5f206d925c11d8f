// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"time"
)

// Budget bounds how many requests are sent again: in any window at most Ratio of
// the requests plus Extra. The zero value allows none.
type Budget struct {
	// Ratio is the part of first sends that may be sent again.
	Ratio float64
	// Extra is how many may be sent again in a window beside that.
	Extra float64
	// Window is the length of the window.
	Window time.Duration
}

// budgetSlots is the number of parts of a window.
const budgetSlots = 10

// spender counts sends against a budget.
type spender struct {
	budget Budget
	slots  [budgetSlots]struct {
		first int
		again int
	}
	at int64
	// began is when the first send was counted.
	began time.Time
}

// roll forgets what lies before the window. It goes by the time since the first send: a step
// of the time of day would else give the budget once more, or keep it spent.
func (s *spender) roll(now time.Time) int {
	if s.began.IsZero() {
		s.began = now
	}
	slot := max(int64(now.Sub(s.began)), 0) / max(int64(s.budget.Window)/budgetSlots, 1)
	if gap := slot - s.at; gap > 0 {
		for i := range min(gap, budgetSlots) {
			s.slots[(slot-i)%budgetSlots].first = 0
			s.slots[(slot-i)%budgetSlots].again = 0
		}
		s.at = slot
	}
	return int(slot % budgetSlots)
}

// first counts a request that is sent for the first time.
func (s *spender) first(now time.Time) {
	s.slots[s.roll(now)].first++
}

// again states whether a request may be sent once more, and counts it.
func (s *spender) again(now time.Time) bool {
	i := s.roll(now)
	first, again := 0, 0
	for _, one := range s.slots {
		first += one.first
		again += one.again
	}
	if float64(again+1) > s.budget.Ratio*float64(first)+s.budget.Extra {
		return false
	}
	s.slots[i].again++
	return true
}
