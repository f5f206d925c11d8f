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

// place is a place for the next attempt, found before the present one is ended.
type place struct {
	ask   pool.PlacementRequest
	grant pool.Grant
}

// watch ends an attempt whose endpoint is silent, once there is another place:
// without one the silent endpoint is the best there is.
type watch struct {
	try    *try
	cancel func()
	// limit is the silence after which another place is looked for.
	limit time.Duration
	// stopped ends the search for a place.
	stopped context.Context
	stop    func()

	mu sync.Mutex
	// heard is when the last sign of life came, and begun states that it was an event.
	heard time.Time
	begun bool
	// timer ends with the silence; nil for an attempt that is not watched.
	timer *time.Timer
	// next is the place that the attempt was ended for.
	next *place
	// left states that it was ended without one, as its endpoint has stopped.
	left bool
	// usual is the usual pause between events, and early ends with the silence that is
	// suspected; nil where nobody hears of suspicions.
	usual time.Duration
	early *time.Timer
	// stopMoves ends that the owner of the pool may have the attempt move.
	stopMoves func()
}

// watch starts the watch of an attempt. Only streams that can be continued at
// one more endpoint are watched: nothing is won by ending another one early.
func (t *try) watch(ctx context.Context, cancel func()) *watch {
	w := &watch{
		try:    t,
		cancel: cancel,
	}
	w.stopped, w.stop = context.WithCancel(ctx)
	r := t.job.route
	if r.Kind != route.Streaming || !r.Resumable || t.job.attemptsLeft() <= 0 {
		return w
	}
	limit, first := pool.SilenceLimits(r.GapTarget, t.grant.FirstEventIn)
	w.limit = limit
	w.heard = time.Now()
	// The timer may end before it is kept.
	w.mu.Lock()
	w.timer = time.AfterFunc(first, w.replace)
	w.mu.Unlock()
	w.listen()
	return w
}

// replace looks for another place and ends the attempt when there is one.
func (w *watch) replace() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped.Err() != nil || w.next != nil {
		return
	}
	t := w.try
	a := t.relay.ask(t.job)
	a.Exclude = append(a.Exclude[:len(a.Exclude):len(a.Exclude)], t.grant.Instance)
	a.Replaces = w.silent()
	if w.begun && a.Gap > 0 {
		a.Resumed, a.DueIn = true, a.Gap-a.Replaces.SilentFor
	}
	ctx, cancel := context.WithTimeout(w.stopped, pool.ReplacementTimeout)
	defer cancel()
	g, err := t.relay.parts.Placer.Place(ctx, a)
	if err != nil {
		t.relay.parts.Log.Info("silent endpoint kept", "request", t.job.head.ID, "attempt", t.ask.ID,
			"endpoint", t.grant.Instance, "reason", err.Error())
		w.timer.Reset(w.nextLook(err))
		return
	}
	w.next = &place{
		ask:   a,
		grant: g,
	}
	w.cancel()
}

// silent describes the attempt. The caller holds the lock.
func (w *watch) silent() pool.ReplacedAttempt {
	r := w.try.job.route
	patience := placement.Patience(r.Target, r.GapTarget)
	if w.begun {
		patience = placement.Patience(0, r.GapTarget)
	}
	silence := time.Since(w.heard)
	return pool.ReplacedAttempt{
		ID:        w.try.ask.ID,
		SilentFor: silence,
		Patience:  patience - silence,
	}
}

// nextLook returns when to look for another place again after there was none.
func (w *watch) nextLook(err error) time.Duration {
	var r *pool.Refusal
	if errors.As(err, &r) && r.KeepReplaced {
		return r.RetryAfter
	}
	return w.limit
}

// touch notes a sign of life.
func (w *watch) touch() {
	if w.timer == nil {
		return
	}
	w.timer.Reset(w.limit)
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.notePause(now)
	w.heard = now
	w.begun = true
}

// end ends the watch. It returns the place for the next attempt if the endpoint
// was given up for it.
func (w *watch) end() *place {
	w.stop()
	if w.timer == nil {
		return nil
	}
	w.timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unlisten()
	return w.next
}

// expired states that the attempt was ended for silence.
func (w *watch) expired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.next != nil || w.left
}
