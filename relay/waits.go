// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"sync"
	"time"
)

// waits knows which times callers name at their first try. Those are the same for
// many requests, while a caller that comes back names what is left of its time. This
// needs no configuration. The zero value is ready for use.
type waits struct {
	mu   sync.Mutex
	seen map[time.Duration]struct{}
}

// maxWaits bounds the times that are remembered. There are a few for each route; what
// callers name that come back fills the rest, and then all are learned anew.
const maxWaits = 256

// common states whether another request has named the same time, and remembers it. It
// is asked once for each request.
func (w *waits) common(wait time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.seen[wait]; ok {
		return true
	}
	if w.seen == nil || len(w.seen) >= maxWaits {
		w.seen = make(map[time.Duration]struct{})
	}
	w.seen[wait] = struct{}{}
	return false
}
