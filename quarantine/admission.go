// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import "time"

// Admission is the leave of one request to run.
type Admission struct {
	// SingleEndpoint states that it may be sent to one endpoint only: its identity was banned, and
	// shows now whether it still crashes endpoints.
	SingleEndpoint bool
	// Release ends the pass; it may be called once.
	Release func()
}

// retestDelay is when a request may come back while another of its identity shows whether it
// still crashes endpoints: the time of a short answer, until its end is known everywhere.
const retestDelay = 2 * time.Second

// Admit gives a request leave to run, or returns when it may come back. After a ban one
// request of the identity runs at a time at this instance, and instances begin to let one run
// one after the other, up to tryAfter apart. Else a request that comes to all at the end of its
// ban crashes as many endpoints as there are instances: 8 where 6 of them let it run, 1 now
// (TestRetestTurns).
func (r *Registry) Admit(id Identity) (p Admission, after time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	free := Admission{
		Release: func() {},
	}
	now := r.now()
	b := r.retainedBan(id, now)
	if b == nil {
		return free, 0, true
	}
	if b.active(now) || b.retestRunning || now.Before(r.retestAllowedFrom(id, b)) {
		r.stats.Refused++
		return Admission{}, max(b.until.Sub(now), retestDelay), false
	}
	b.retestRunning = true
	return Admission{
		SingleEndpoint: true,
		Release: func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			b.retestRunning = false
			b.retestFrom = r.now().Add(retestDelay)
		},
	}, 0, true
}

// maxTurnsDuration is how long it takes at most until all instances may let a request run whose ban is
// over: a wrong ban lasts no more than twice as long as a first one, however many there are.
const maxTurnsDuration = firstBanDuration

// RetestTurn is the place of an instance among all in showing whether requests of an identity still
// crash endpoints.
type RetestTurn struct {
	// Position is how many come before it, and Instances how many there are.
	Position, Instances int
}

// delay is how much later than the end of a ban the instance may let a request run.
func (t RetestTurn) delay() time.Duration {
	return time.Duration(t.Position) * min(retestDelay, maxTurnsDuration/time.Duration(max(t.Instances, 1)))
}

// retestAllowedFrom returns from when this instance may let a request run whose ban is over. The caller
// holds the lock.
func (r *Registry) retestAllowedFrom(id Identity, b *ban) time.Time {
	if b.retestFrom.IsZero() {
		b.retestFrom = b.until.Add(r.turn(id).delay())
	}
	return b.retestFrom
}
