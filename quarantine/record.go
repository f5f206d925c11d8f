// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"context"
	"time"

	"github.com/go-logr/logr"
)

// Store keeps bans independently of the life of instances.
type Store interface {
	// RecordBan writes a ban, replacing an earlier one of its identity.
	RecordBan(ctx context.Context, v Verdict) error
	// EraseBan removes the ban of an identity.
	EraseBan(ctx context.Context, id Identity) error
}

// The timing of writes to the store.
const (
	// writeTimeout bounds one call.
	writeTimeout = time.Second
	// writeRetryDelay is the pause after a failed call.
	writeRetryDelay = 500 * time.Millisecond
	// standbyDelay is how much later than the pool's owner another instance writes a change. It
	// gives that instance time to read what the owner wrote.
	standbyDelay = 2 * time.Second
)

// storeCall is a pending call of the store. It records the verdict, or erases the ban of its
// identity.
type storeCall struct {
	verdict Verdict
	erase   bool
}

// SyncStored applies the bans that the store holds; previous are those of the last call. A ban that
// is no longer in the store was removed by an instance or an operator, or its retention time is
// over. The store keeps an expired ban for its retention time: if the record were erased when the
// ban expires, instances could take this for the clearance of the identity's next ban.
func (r *Registry) SyncStored(previous, current map[Identity]Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for id, v := range current {
		if previous[id] != v {
			r.applyBan(v, now)
		}
		if b := r.bans[id]; b != nil {
			b.recorded = true
		}
	}
	for id := range previous {
		if _, kept := current[id]; kept {
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

// storeCalls returns the calls that are due now, and when the next one will be; zero if none will
// be. The pool's owner writes without delay, other instances after standbyDelay.
func (r *Registry) storeCalls(owner bool) (calls []storeCall, next time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	wait := standbyDelay
	if owner {
		wait = 0
	}
	add := func(at time.Time, call storeCall) {
		switch at = at.Add(wait); {
		case !at.After(now):
			calls = append(calls, call)
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

// eraseCall returns the call that erases the ban of an identity.
func eraseCall(id Identity) storeCall {
	return storeCall{
		verdict: Verdict{
			Identity: id,
		},
		erase: true,
	}
}

// confirmWritten records that a call of the store succeeded.
func (r *Registry) confirmWritten(call storeCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := call.verdict.Identity
	b := r.bans[id]
	switch {
	case !call.erase && b != nil:
		b.recorded = true
	case !call.erase:
		// The ban was cleared while it was being written, so it must be erased.
		r.pendingErasures[id] = r.now()
	default:
		delete(r.pendingErasures, id)
		if b != nil && !b.active(r.now()) {
			delete(r.bans, id)
		}
	}
}

// Recorder writes the bans of a registry to a store.
type Recorder struct {
	registry *Registry
	store    Store
	owner    func() bool
	log      logr.Logger
}

// NewRecorder returns a recorder. The function owner reports whether this instance owns the pool
// and therefore writes without delay. Other instances write after standbyDelay what they have not
// read from the store by then.
func NewRecorder(registry *Registry, s Store, owner func() bool, log logr.Logger) *Recorder {
	return &Recorder{
		registry: registry,
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

// write makes the calls that are due. It returns the time until the next check, or false if none is
// needed before the next change.
func (r *Recorder) write(ctx context.Context) (time.Duration, bool) {
	calls, next := r.registry.storeCalls(r.owner())
	for _, pending := range calls {
		if err := r.call(ctx, pending); err != nil {
			r.log.Info("ban can't be written to the store", "identity", pending.verdict.Identity.String(), "erase", pending.erase, "cause", err.Error())
			return writeRetryDelay, true
		}
		r.registry.confirmWritten(pending)
	}
	if len(calls) > 0 {
		// The calls may have made further ones due.
		return 0, true
	}
	if next.IsZero() {
		return 0, false
	}
	return next.Sub(r.registry.now()), true
}

// call makes one call of the store.
func (r *Recorder) call(ctx context.Context, pending storeCall) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if pending.erase {
		return r.store.EraseBan(ctx, pending.verdict.Identity)
	}
	return r.store.RecordBan(ctx, pending.verdict)
}
