// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"sync"
	"time"
)

// timeoutTracker distinguishes returning callers, which have sent the request before, from first
// tries by their timeouts. First tries usually name one of a few timeouts, whereas a returning
// caller names what is left of its timeout. If the timeouts of first tries all differ, no caller
// is taken as returning. The zero value is ready for use.
type timeoutTracker struct {
	mu   sync.Mutex
	seen map[time.Duration]struct{}
	// repeatShare is the moving average of the fraction of requests whose timeout was seen
	// before.
	repeatShare float64
}

// Parameters of a timeoutTracker.
const (
	// maxTimeouts bounds the remembered timeouts. Those of returning callers fill it up in
	// time; then all are forgotten.
	maxTimeouts = 256
	// shareWeight is the weight of the latest request in repeatShare.
	shareWeight = 1.0 / 16
	// minRepeatShare is the value of repeatShare from which a new timeout marks a returning
	// caller.
	minRepeatShare = 0.3
)

// observe records the timeout of a request. Repeated is true if an earlier request had the same
// timeout, which marks a first try. Returning is true if the request is probably from a
// returning caller.
func (w *timeoutTracker) observe(wait time.Duration) (repeated, returning bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, repeated = w.seen[wait]
	value := 0.0
	if repeated {
		value = 1
	}
	w.repeatShare += shareWeight * (value - w.repeatShare)
	if repeated {
		return true, false
	}
	if w.seen == nil || len(w.seen) >= maxTimeouts {
		w.seen = make(map[time.Duration]struct{})
	}
	w.seen[wait] = struct{}{}
	return false, w.repeatShare >= minRepeatShare
}
