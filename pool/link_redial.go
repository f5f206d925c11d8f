// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// redialWait bounds how long placement requests wait for a session to be reopened; it is below the
// shortest targets. After a reset of all connections, the owner still has its state. Requests that
// did not wait would go to a standby, which knows less about the load, or be placed locally, and
// long prefills would start on engines that are already full.
const redialWait = 100 * time.Millisecond

// redialsAtOnce reports whether a session that ended with err is to be reopened without a pause:
// the owner or the network must have ended it, not a timeout at this end, and it must have been
// open for longer than redialPause, so that redials don't form a busy loop. The caller must hold
// l.mu.
func (l *link) redialsAtOnce(err error) bool {
	return status.Code(err) == codes.Unavailable && time.Since(l.openedAt) > redialPause
}

// endRedialWait wakes the requests that wait in awaitRedial. The caller must hold l.mu.
func (l *link) endRedialWait() {
	if l.redialing != nil {
		close(l.redialing)
		l.redialing = nil
	}
}

// awaitRedial waits, up to redialWait, if the session is being reopened at once. It reports whether
// the session is open.
func (l *link) awaitRedial(ctx context.Context) bool {
	l.mu.Lock()
	open, redialing := l.open, l.redialing
	l.mu.Unlock()
	if open || redialing == nil {
		return open
	}
	ctx, cancel := context.WithTimeout(ctx, redialWait)
	defer cancel()
	select {
	case <-redialing:
	case <-ctx.Done():
	}
	return l.usable()
}
