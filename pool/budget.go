// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"time"
)

// Budget bounds how many requests are retried: in a sliding window, at most Ratio times the number
// of first sends, plus Extra. The zero value allows no retries.
type Budget struct {
	// Ratio is the number of retries allowed for each first send.
	Ratio float64
	// Extra is the number of retries allowed in a window in addition.
	Extra float64
	// Window is the length of the window. The window moves in steps of a tenth of its length, so
	// requests older than nine tenths of it may no longer count.
	Window time.Duration
}

// budgetBuckets is the number of buckets into which a window is divided.
const budgetBuckets = 10

// retryCounter counts first sends and retries in a sliding window, and checks them against a
// budget.
type retryCounter struct {
	budget  Budget
	buckets [budgetBuckets]struct {
		first   int
		retries int
	}
	// bucket is the number of the latest bucket, counted from startedAt.
	bucket int64
	// startedAt is when the counter was first used.
	startedAt time.Time
}

// roll clears the buckets that have left the window and returns the index of the present bucket.
// Buckets are counted by the time since startedAt, which the monotonic clock measures, so that a
// change of the wall clock neither renews the budget nor keeps it exhausted.
func (s *retryCounter) roll(now time.Time) int {
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	bucket := max(int64(now.Sub(s.startedAt)), 0) / max(int64(s.budget.Window)/budgetBuckets, 1)
	if gap := bucket - s.bucket; gap > 0 {
		for i := range min(gap, budgetBuckets) {
			s.buckets[(bucket-i)%budgetBuckets].first = 0
			s.buckets[(bucket-i)%budgetBuckets].retries = 0
		}
		s.bucket = bucket
	}
	return int(bucket % budgetBuckets)
}

// countFirst counts a request that is sent for the first time.
func (s *retryCounter) countFirst(now time.Time) {
	s.buckets[s.roll(now)].first++
}

// retryUse is the use of a budget in the present window.
type retryUse struct {
	// first and retries are the counted first sends and retries.
	first, retries int
	// limit is the number of retries that the budget allows.
	limit float64
}

// use returns the use of the budget.
func (s *retryCounter) use(now time.Time) retryUse {
	s.roll(now)
	u := retryUse{}
	for _, bucket := range s.buckets {
		u.first += bucket.first
		u.retries += bucket.retries
	}
	u.limit = s.budget.Ratio*float64(u.first) + s.budget.Extra
	return u
}

// allowRetry reports whether the budget allows another retry, and counts it if so.
func (s *retryCounter) allowRetry(now time.Time) bool {
	u := s.use(now)
	if float64(u.retries+1) > u.limit {
		return false
	}
	s.buckets[s.roll(now)].retries++
	return true
}
