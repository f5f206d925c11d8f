// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"sync"
	"time"
)

// timeoutTracker knows which times callers name at their first try. Where those are the same for
// many requests, a caller that comes back is known by what is left of its time. Where
// callers name all kinds of times from the start, nothing tells who has come back. This
// needs no configuration. The zero value is ready for use.
type timeoutTracker struct {
	mu   sync.Mutex
	seen map[time.Duration]struct{}
	// repeatShare is the recent part of the requests whose time others have named.
	repeatShare float64
}

// The measures of knowing callers by the time that they name.
const (
	// maxTimeouts bounds the times that are remembered. There are a few for each route;
	// what callers name that come back fills the rest, and then all are learned anew.
	maxTimeouts = 256
	// shareWeight is the weight of one more request in the share.
	shareWeight = 1.0 / 16
	// minRepeatShare is the share from which on a time that no other request has named
	// tells that its caller has come back. It is reached by six first tries that name
	// the same time and kept while half of the callers come back; times that are
	// spread over some seconds agree by chance in one of twenty.
	minRepeatShare = 0.3
)

// observe remembers the time that a request names. Common states whether another one has
// named the same, and returns whether the request is known to come back.
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
