// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"sync/atomic"
	"time"

	"github.com/linkmast/linkmast/internal/steady"
)

// timestamp is a time that several goroutines can set and read. The zero value is unset.
type timestamp struct {
	at atomic.Pointer[time.Time]
}

// mark sets the timestamp.
func (t *timestamp) mark(now time.Time) {
	t.at.Store(&now)
}

// reset makes the timestamp unset.
func (t *timestamp) reset() {
	t.at.Store(nil)
}

// since returns the time that has passed since the timestamp, or false if it is unset.
func (t *timestamp) since() (time.Duration, bool) {
	at := t.at.Load()
	if at == nil {
		return 0, false
	}
	return steady.Since(*at), true
}

// within reports whether the timestamp is set and at most d ago.
func (t *timestamp) within(d time.Duration) bool {
	ago, ok := t.since()
	return ok && ago <= d
}
