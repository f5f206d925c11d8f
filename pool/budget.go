// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"time"
)

// Budget bounds how many requests are retried: in a sliding window, at most Ratio times the number
// of first sends, plus Extra, summed over all instances. The zero value allows no retries.
type Budget struct {
	// Ratio is the number of retries allowed for each first send.
	Ratio float64
	// Extra is the number of retries allowed in a window in addition.
	Extra float64
	// Window is the length of the window.
	Window time.Duration
}

// Parameters of the windows in which sends are counted.
const (
	// windowBuckets is the number of buckets that a window is divided into.
	windowBuckets = 10
	// keptBuckets is the number of buckets that are kept: the present one, which has just begun,
	// and the whole window before it.
	keptBuckets = windowBuckets + 1
)

// sendCounts counts first sends and retries.
type sendCounts struct {
	first   int
	retries int
}

// add adds other counts.
func (c *sendCounts) add(other sendCounts) {
	c.first += other.first
	c.retries += other.retries
}

// sendWindow counts the first sends and retries of one process in a sliding window. First sends
// count for at most a window, and retries for at least one, so that the coarse buckets never allow
// more retries than the budget.
type sendWindow struct {
	buckets [keptBuckets]sendCounts
	// bucket is the number of the present bucket, as of the last call.
	bucket int64
}

// roll clears the buckets that have left the window when the present bucket has the given number.
func (w *sendWindow) roll(bucket int64) {
	for i := range min(bucket-w.bucket, keptBuckets) {
		w.buckets[(bucket-i)%keptBuckets] = sendCounts{}
	}
	w.bucket = max(w.bucket, bucket)
}

// at returns the counts of a bucket, or nil if it is not kept. The window must have been rolled to
// the present bucket.
func (w *sendWindow) at(bucket int64) *sendCounts {
	if bucket > w.bucket || bucket <= w.bucket-keptBuckets || bucket < 0 {
		return nil
	}
	return &w.buckets[bucket%keptBuckets]
}

// sum returns the first sends and the retries that count at present.
func (w *sendWindow) sum() sendCounts {
	out := sendCounts{}
	for i := range int64(keptBuckets) {
		c := w.at(w.bucket - i)
		if c == nil {
			break
		}
		out.retries += c.retries
		if i < windowBuckets {
			out.first += c.first
		}
	}
	return out
}
