// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"sync/atomic"
	"time"

	"github.com/linkmast/linkmast/internal/steady"
)

// timestamp is a moment that several goroutines mark and read. The zero value was never marked.
type timestamp struct {
	at atomic.Pointer[time.Time]
}

// mark sets the clock to a moment.
func (k *timestamp) mark(now time.Time) {
	k.at.Store(&now)
}

// reset makes the clock one that was never marked.
func (k *timestamp) reset() {
	k.at.Store(nil)
}

// since returns how long ago the clock was marked; false when it never was.
func (k *timestamp) since() (time.Duration, bool) {
	at := k.at.Load()
	if at == nil {
		return 0, false
	}
	return steady.Since(*at), true
}

// within states whether the clock was marked at most so long ago.
func (k *timestamp) within(d time.Duration) bool {
	ago, ok := k.since()
	return ok && ago <= d
}
