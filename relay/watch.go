// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/placement"
	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/route"
)

// nextPlacement is a placement for the next attempt.
type nextPlacement struct {
	request pool.PlacementRequest
	grant   pool.Grant
}

// watch monitors an attempt and cancels it if its endpoint is silent and another placement is
// available. Without another placement the attempt continues, unless it is ordered to migrate
// before its first event.
type watch struct {
	attempt *attempt
	cancel  func()
	// silenceLimit is the silence after an event from which the watch searches for another
	// placement, and the usual delay between searches.
	silenceLimit time.Duration
	// stopped is done when the watch ends. It also cancels a search for a placement.
	stopped context.Context
	stop    func()

	mu sync.Mutex
	// lastActivity is when the last event arrived, or when the watch started. hasEvents states
	// that an event has arrived.
	lastActivity time.Time
	hasEvents    bool
	// timer fires when the next search for a placement is due; nil if the attempt is not
	// watched.
	timer *time.Timer
	// next is the placement for which the attempt was cancelled.
	next *nextPlacement
	// abandoned states that the attempt was cancelled without another placement, because it was
	// ordered to migrate before its first event.
	abandoned bool
	// meanPause is the moving average of the pauses between events. suspectTimer fires when the
	// current pause has to be reported; nil without a SilenceMonitor and before the first
	// event.
	meanPause    time.Duration
	suspectTimer *time.Timer
	// stopMigrations ends the subscription to migrations; nil without one.
	stopMigrations func()
}

// watch starts the watch of an attempt. It watches only streams that may be sent to another
// endpoint, because cancelling any other attempt early gains nothing.
func (t *attempt) watch(ctx context.Context, cancel func()) *watch {
	w := &watch{
		attempt: t,
		cancel:  cancel,
	}
	w.stopped, w.stop = context.WithCancel(ctx)
	r := t.job.route
	if r.Kind != route.Streaming || !r.Resumable || t.job.attemptsLeft() <= 0 {
		return w
	}
	limit, first := pool.SilenceLimits(r.GapTarget, t.grant.FirstEventIn)
	w.silenceLimit = limit
	w.lastActivity = time.Now()
	// The timer may fire before the field is set.
	w.mu.Lock()
	w.timer = time.AfterFunc(first, w.replace)
	w.mu.Unlock()
	w.subscribeMigrations()
	return w
}

// replace searches for another placement and cancels the attempt if there is one. Otherwise it
// schedules the next search.
func (w *watch) replace() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped.Err() != nil || w.next != nil {
		return
	}
	t := w.attempt
	if verify := t.relay.parts.VerifyPath; verify != nil {
		verify(t.grant.Address)
	}
	a := t.relay.newPlacementRequest(t.job)
	a.Exclude = append(a.Exclude[:len(a.Exclude):len(a.Exclude)], t.grant.Instance)
	a.Replaces = w.describeSilence()
	if w.hasEvents && a.Gap > 0 {
		a.Resumed, a.DueIn = true, a.Gap-a.Replaces.SilentFor
	}
	ctx, cancel := context.WithTimeout(w.stopped, pool.ReplacementTimeout)
	defer cancel()
	g, err := t.relay.parts.Placer.Place(ctx, a)
	if err != nil {
		t.relay.parts.Log.Info("silent endpoint kept", "request", t.job.head.ID, "attempt", t.request.ID,
			"endpoint", t.grant.Instance, "reason", err.Error())
		w.timer.Reset(w.nextSearchDelay(err))
		return
	}
	w.next = &nextPlacement{
		request: a,
		grant:   g,
	}
	w.cancel()
}

// describeSilence describes the silent attempt for a placement request. The caller holds the
// lock.
func (w *watch) describeSilence() pool.ReplacedAttempt {
	r := w.attempt.job.route
	patience := placement.Patience(r.Target, r.GapTarget)
	if w.hasEvents {
		patience = placement.Patience(0, r.GapTarget)
	}
	silence := time.Since(w.lastActivity)
	return pool.ReplacedAttempt{
		ID:        w.attempt.request.ID,
		SilentFor: silence,
		Patience:  patience - silence,
	}
}

// nextSearchDelay returns the delay until the next search after one that failed with err.
func (w *watch) nextSearchDelay(err error) time.Duration {
	var r *pool.Refusal
	if errors.As(err, &r) && r.KeepReplaced {
		return r.RetryAfter
	}
	return w.silenceLimit
}

// recordActivity records the arrival of events and restarts the timers.
func (w *watch) recordActivity() {
	if w.timer == nil {
		return
	}
	w.timer.Reset(w.silenceLimit)
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.observePause(now)
	w.lastActivity = now
	w.hasEvents = true
}

// end stops the watch. It returns the placement for the next attempt if the attempt was
// cancelled for it, else nil. It may be called more than once.
func (w *watch) end() *nextPlacement {
	w.stop()
	if w.timer == nil {
		return nil
	}
	w.timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unsubscribe()
	return w.next
}

// expired reports whether the watch has cancelled the attempt.
func (w *watch) expired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.next != nil || w.abandoned
}
