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

// budgetBuckets is the number of parts of a window.
const budgetBuckets = 10

// retryCounter counts sends against a budget.
type retryCounter struct {
	budget  Budget
	buckets [budgetBuckets]struct {
		first int
		again int
	}
	bucket int64
	// startedAt is when the first send was counted.
	startedAt time.Time
}

// roll forgets what lies before the window. It goes by the time since the first send: a step
// of the time of day would else give the budget once more, or keep it spent.
func (s *retryCounter) roll(now time.Time) int {
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	slot := max(int64(now.Sub(s.startedAt)), 0) / max(int64(s.budget.Window)/budgetBuckets, 1)
	if gap := slot - s.bucket; gap > 0 {
		for i := range min(gap, budgetBuckets) {
			s.buckets[(slot-i)%budgetBuckets].first = 0
			s.buckets[(slot-i)%budgetBuckets].again = 0
		}
		s.bucket = slot
	}
	return int(slot % budgetBuckets)
}

// countFirst counts a request that is sent for the first time.
func (s *retryCounter) countFirst(now time.Time) {
	s.buckets[s.roll(now)].first++
}

// allowRetry states whether a request may be sent once more, and counts it.
func (s *retryCounter) allowRetry(now time.Time) bool {
	i := s.roll(now)
	first, again := 0, 0
	for _, one := range s.buckets {
		first += one.first
		again += one.again
	}
	if float64(again+1) > s.budget.Ratio*float64(first)+s.budget.Extra {
		return false
	}
	s.buckets[i].again++
	return true
}
