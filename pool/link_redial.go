// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// redialWait bounds how long asks wait for a session that broke off to be open again:
// many round trips, and below the shortest targets of callers. When all connections are
// reset, all owners are as they were; an instance that did not wait would ask others,
// which know less of what runs, or place alone, and start long readings on engines that
// the owner has filled.
const redialWait = 100 * time.Millisecond

// redialsAtOnce states whether the session is to be opened again at once: the other end or the
// network broke it off, not this end for silence, and it was open for longer than the
// pause between two tries, so that tries don't follow each other without a pause. The
// caller holds the lock.
func (l *link) redialsAtOnce(err error) bool {
	return status.Code(err) == codes.Unavailable && time.Since(l.openedAt) > redialPause
}

// endRedialWait ends the wait for the session. The caller holds the lock.
func (l *link) endRedialWait() {
	if l.redialing != nil {
		close(l.redialing)
		l.redialing = nil
	}
}

// awaitRedial waits while the session is opened again at once, and states whether the
// owner can be asked.
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
