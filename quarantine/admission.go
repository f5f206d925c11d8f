// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import "time"

// Admission is the permission for one request to run.
type Admission struct {
	// SingleEndpoint reports that the request may be sent to one endpoint only, because its
	// identity was banned and may still crash endpoints.
	SingleEndpoint bool
	// Release ends the admission. It must be called once.
	Release func()
}

// retestDelay is the least time from the end of a request of an identity until the same instance
// admits the next one after a ban. It is also the delay between the first such requests of
// successive instances, unless there are so many that maxTurnsDuration shortens it.
const retestDelay = 2 * time.Second

// Admit admits a request, or returns the ban that prevents it. After a ban each instance admits one
// request of the identity at a time, and the instances start to do so one after another. If all
// started at the end of the ban, a request sent to all of them would crash as many endpoints as there
// are instances.
func (r *Registry) Admit(k Keys) (Admission, *Ban) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var retests []*ban
	for id, part := range k.all {
		b := r.retainedBan(id, now)
		if b == nil {
			continue
		}
		if b.active(now) || b.retestRunning || now.Before(r.retestAllowedFrom(id, b)) {
			r.stats.Refused++
			return Admission{}, &Ban{
				Identity:  id,
				Part:      part,
				Remaining: max(b.until.Sub(now), retestDelay),
			}
		}
		retests = append(retests, b)
	}
	for _, b := range retests {
		b.retestRunning = true
	}
	return Admission{
		SingleEndpoint: len(retests) > 0,
		Release:        func() { r.endRetests(retests) },
	}, nil
}

// endRetests ends the admission of a request after the bans.
func (r *Registry) endRetests(bans []*ban) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range bans {
		b.retestRunning = false
		b.retestFrom = r.now().Add(retestDelay)
	}
}

// maxTurnsDuration bounds the time from the end of a ban until all instances may admit requests of
// the identity, so that a large fleet doesn't prolong a wrong ban much.
const maxTurnsDuration = firstBanDuration

// RetestTurn is the position of an instance in the order in which instances admit requests of an
// identity after its ban.
type RetestTurn struct {
	// Position is the number of instances before this one, and Instances the number of all.
	Position, Instances int
}

// delay returns the time from the end of a ban until the instance may admit a request.
func (t RetestTurn) delay() time.Duration {
	return time.Duration(t.Position) * min(retestDelay, maxTurnsDuration/time.Duration(max(t.Instances, 1)))
}

// retestAllowedFrom returns when this instance may next admit a request of the identity. The caller
// must hold the lock.
func (r *Registry) retestAllowedFrom(id Identity, b *ban) time.Time {
	if b.retestFrom.IsZero() {
		b.retestFrom = b.until.Add(r.deps.Turn(id).delay())
	}
	return b.retestFrom
}
