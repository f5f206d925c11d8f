// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"sync/atomic"
	"time"

	"github.com/linkmast/linkmast/internal/steady"
)

// clock is a moment that several goroutines mark and read.
type clock struct {
	// at is the time since begin in ns, and one more; zero while it is not
	// marked.
	at atomic.Int64
}

// begin is what moments of a clock count from.
var begin = steady.Now()

// mark sets the clock to a moment.
func (k *clock) mark(now time.Time) {
	k.at.Store(int64(now.Sub(begin)) + 1)
}

// reset makes the clock one that was never marked.
func (k *clock) reset() {
	k.at.Store(0)
}

// since returns how long ago the clock was marked; false when it never was.
func (k *clock) since() (time.Duration, bool) {
	at := k.at.Load()
	return steady.Since(begin) - time.Duration(at), at > 0
}

// within states whether the clock was marked at most so long ago.
func (k *clock) within(d time.Duration) bool {
	ago, ok := k.since()
	return ok && ago <= d
}
