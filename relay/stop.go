// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// errStopping is the cause of the end of a context of a request that is not sent any more.
var errStopping = errors.New("instance is stopping")

// Stop makes the relay answer later requests with "Connection: close", so that callers open
// their next connection to another instance.
func (l *Relay) Stop() {
	l.stopping.Store(true)
}

// EndSending makes the relay refuse, from now on, each request that no endpoint may have run and whose deadline
// is after cutAt, a time of package steady at which the instance cuts off its answers. Requests whose body is
// still arriving and those that wait for a placement are refused at once. It must be called once at most.
func (l *Relay) EndSending(cutAt time.Time) {
	l.cutAt = cutAt
	l.endSending()
}

// refuseLate returns a refusal if no endpoint may have run the request and its answer could be cut off by the
// end of the stop, else nil.
func (l *Relay) refuseLate(j *job) *refusal {
	if l.sendingEnded.Err() == nil || j.mayHaveRun || !j.deadline.After(l.cutAt) {
		return nil
	}
	return refuseStopping()
}

// refuseStopping returns the refusal of a request that is not sent, as the instance stops.
func refuseStopping() *refusal {
	return serviceUnavailable(errStopping.Error(), defaultRetryAfter)
}

// sendContext returns a context that also ends, with the cause errStopping, when refuseLate begins to refuse
// the request. The caller must call stop.
func (l *Relay) sendContext(ctx context.Context, j *job) (c context.Context, stop func()) {
	if j.mayHaveRun {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	unregister := context.AfterFunc(l.sendingEnded, func() {
		if j.deadline.After(l.cutAt) {
			cancel(errStopping)
		}
	})
	return ctx, func() {
		unregister()
		cancel(nil)
	}
}
