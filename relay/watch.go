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

// nextPlacement is a nextPlacement for the next attempt, found before the present one is ended.
type nextPlacement struct {
	request pool.PlacementRequest
	grant   pool.Grant
}

// watch ends an attempt whose endpoint is silent, once there is another place:
// without one the silent endpoint is the best there is.
type watch struct {
	attempt *attempt
	cancel  func()
	// silenceLimit is the silence after which another place is looked for.
	silenceLimit time.Duration
	// stopped ends the search for a place.
	stopped context.Context
	stop    func()

	mu sync.Mutex
	// lastActivity is when the last sign of life came, and begun states that it was an event.
	lastActivity time.Time
	hasEvents    bool
	// timer ends with the silence; nil for an attempt that is not watched.
	timer *time.Timer
	// next is the place that the attempt was ended for.
	next *nextPlacement
	// abandoned states that it was ended without one, as its endpoint has stopped.
	abandoned bool
	// meanPause is the meanPause pause between events, and early ends with the silence that is
	// suspected; nil where nobody hears of suspicions.
	meanPause    time.Duration
	suspectTimer *time.Timer
	// stopMigrations ends that the owner of the pool may have the attempt move.
	stopMigrations func()
}

// watch starts the watch of an attempt. Only streams that can be continued at
// one more endpoint are watched: nothing is won by ending another one early.
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
	// The timer may end before it is kept.
	w.mu.Lock()
	w.timer = time.AfterFunc(first, w.replace)
	w.mu.Unlock()
	w.subscribeMigrations()
	return w
}

// replace looks for another place and ends the attempt when there is one.
func (w *watch) replace() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped.Err() != nil || w.next != nil {
		return
	}
	t := w.attempt
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

// describeSilence describes the attempt. The caller holds the lock.
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

// nextSearchDelay returns when to look for another place again after there was none.
func (w *watch) nextSearchDelay(err error) time.Duration {
	var r *pool.Refusal
	if errors.As(err, &r) && r.KeepReplaced {
		return r.RetryAfter
	}
	return w.silenceLimit
}

// recordActivity notes a sign of life.
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

// end ends the watch. It returns the place for the next attempt if the endpoint
// was given up for it.
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

// expired states that the attempt was ended for silence.
func (w *watch) expired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.next != nil || w.abandoned
}
