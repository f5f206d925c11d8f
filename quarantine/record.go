// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"context"
	"time"

	"github.com/go-logr/logr"
)

// Store keeps bans for as long as they are needed, over the end of all instances.
type Store interface {
	// RecordBan writes a ban, in place of an earlier one of its identity.
	RecordBan(ctx context.Context, v Verdict) error
	// EraseBan removes the ban of an identity.
	EraseBan(ctx context.Context, id Identity) error
}

// The times of writing to the store.
const (
	// writeTimeout bounds one call.
	writeTimeout = time.Second
	// writeRetryDelay is the pause after a call that failed.
	writeRetryDelay = 500 * time.Millisecond
	// standbyDelay is how much later an instance writes that does not own the pool: time
	// for the owner's record to be read by all.
	standbyDelay = 2 * time.Second
)

// storeCall is one call of the store that is storeCall: a ban to record, or the identity of one to
// erase.
type storeCall struct {
	verdict Verdict
	erase   bool
}

// SyncStored takes over all bans that the store has. Former are those of the time before: who is
// missing now was cleared by another instance or an operator, or is over. A record stays for
// as long as its ban is remembered, so that the end of one ban isn't taken for that of the
// next.
func (r *Registry) SyncStored(former, bans map[Identity]Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for id, v := range bans {
		if former[id] != v {
			r.applyBan(v, now)
		}
		if b := r.bans[id]; b != nil {
			b.recorded = true
		}
	}
	for id := range former {
		if _, kept := bans[id]; kept {
			continue
		}
		b := r.bans[id]
		switch {
		case b == nil || !b.recorded:
		case b.active(now):
			r.clear(id)
		default:
			delete(r.bans, id)
		}
		delete(r.pendingErasures, id)
	}
	r.signalChange()
}

// storeCalls returns what is to be written to the store now, and when there may be more to do; zero
// for never. Owner states that this instance writes first.
func (r *Registry) storeCalls(owner bool) (calls []storeCall, next time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	wait := standbyDelay
	if owner {
		wait = 0
	}
	add := func(at time.Time, d storeCall) {
		switch at = at.Add(wait); {
		case !at.After(now):
			calls = append(calls, d)
		case next.IsZero() || at.Before(next):
			next = at
		}
	}
	for id, at := range r.pendingErasures {
		add(at, eraseCall(id))
	}
	for id, b := range r.bans {
		switch {
		case b.recorded:
			add(b.retainUntil(), eraseCall(id))
		case !b.decidedAt.IsZero() && b.active(now):
			add(b.decidedAt, storeCall{
				verdict: Verdict{
					Identity:  id,
					State:     Banned,
					Remaining: b.until.Sub(now),
					BanCount:  b.count,
				},
			})
		}
	}
	return calls, next
}

// eraseCall is the call that removes the ban of an identity.
func eraseCall(id Identity) storeCall {
	return storeCall{
		verdict: Verdict{
			Identity: id,
		},
		erase: true,
	}
}

// confirmWritten notes that a call of the store was made.
func (r *Registry) confirmWritten(d storeCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := d.verdict.Identity
	b := r.bans[id]
	switch {
	case !d.erase && b != nil:
		b.recorded = true
	case !d.erase:
		// It was cleared meanwhile: its record is to go.
		r.pendingErasures[id] = r.now()
	default:
		delete(r.pendingErasures, id)
		if b != nil && !b.active(r.now()) {
			delete(r.bans, id)
		}
	}
}

// Recorder keeps the bans in the store in line with a book.
type Recorder struct {
	registry *Registry
	store    Store
	owner    func() bool
	log      logr.Logger
}

// NewRecorder returns a recorder. Owner states whether this instance writes first; others
// write what the first did not.
func NewRecorder(b *Registry, s Store, owner func() bool, log logr.Logger) *Recorder {
	return &Recorder{
		registry: b,
		store:    s,
		owner:    owner,
		log:      log,
	}
}

// Run writes to the store until ctx ends.
func (r *Recorder) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.registry.changed:
		case <-timer.C:
		}
		if pause, more := r.write(ctx); more {
			timer.Reset(pause)
		}
	}
}

// write makes the calls that are due. It returns when to look again, or false when there is
// nothing to wait for.
func (r *Recorder) write(ctx context.Context) (time.Duration, bool) {
	calls, next := r.registry.storeCalls(r.owner())
	for _, d := range calls {
		if err := r.call(ctx, d); err != nil {
			r.log.Info("ban can't be written to the store", "identity", d.verdict.Identity.String(), "erase", d.erase, "cause", err.Error())
			return writeRetryDelay, true
		}
		r.registry.confirmWritten(d)
	}
	if len(calls) > 0 {
		// What was written may have changed what is due.
		return 0, true
	}
	if next.IsZero() {
		return 0, false
	}
	return next.Sub(r.registry.now()), true
}

// call makes one call of the store.
func (r *Recorder) call(ctx context.Context, d storeCall) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if d.erase {
		return r.store.EraseBan(ctx, d.verdict.Identity)
	}
	return r.store.RecordBan(ctx, d.verdict)
}
