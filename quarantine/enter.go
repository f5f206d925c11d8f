// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import "time"

// Pass is the leave of one request to run.
type Pass struct {
	// Once states that it may be sent to one endpoint only: its identity was banned, and
	// shows now whether it still crashes endpoints.
	Once bool
	// Leave ends the pass; it may be called once.
	Leave func()
}

// tryAfter is when a request may come back while another of its identity shows whether it
// still crashes endpoints: the time of a short answer, until its end is known everywhere.
const tryAfter = 2 * time.Second

// Enter gives a request leave to run, or returns when it may come back. After a ban one
// request of the identity runs at a time at this instance, and instances begin to let one run
// one after the other, up to tryAfter apart. Else a request that comes to all at the end of its
// ban crashes as many endpoints as there are instances: 8 where 6 of them let it run, 1 now
// (TestTurns).
func (b *Book) Enter(id Identity) (p Pass, after time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	free := Pass{
		Leave: func() {},
	}
	now := b.now()
	one := b.remembered(id, now)
	if one == nil {
		return free, 0, true
	}
	if one.active(now) || one.trying || now.Before(b.tryFrom(id, one)) {
		b.figures.Refused++
		return Pass{}, max(one.until.Sub(now), tryAfter), false
	}
	one.trying = true
	return Pass{
		Once: true,
		Leave: func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			one.trying = false
			one.tryFrom = b.now().Add(tryAfter)
		},
	}, 0, true
}

// turnsWithin is how long it takes at most until all instances may let a request run whose ban is
// over: a wrong ban lasts no more than twice as long as a first one, however many there are.
const turnsWithin = banFirst

// Turn is the place of an instance among all in showing whether requests of an identity still
// crash endpoints.
type Turn struct {
	// Before is how many come before it, and Of how many there are.
	Before, Of int
}

// wait is how much later than the end of a ban the instance may let a request run.
func (t Turn) wait() time.Duration {
	return time.Duration(t.Before) * min(tryAfter, turnsWithin/time.Duration(max(t.Of, 1)))
}

// tryFrom returns from when this instance may let a request run whose ban is over. The caller
// holds the lock.
func (b *Book) tryFrom(id Identity, one *ban) time.Time {
	if one.tryFrom.IsZero() {
		one.tryFrom = one.until.Add(b.turn(id).wait())
	}
	return one.tryFrom
}
