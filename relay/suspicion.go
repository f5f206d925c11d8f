// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"time"

	"github.com/linkmast/linkmast/pool"
)

// Parameters of reporting a silent stream.
const (
	// pauseWeight is the weight of the latest pause in the moving average. It is low enough
	// that a single long pause does not dominate.
	pauseWeight = 0.25
	// timerTolerance is how late the timer may fire. If it fires later, this instance was
	// stalled, and the silence says nothing about the endpoint.
	timerTolerance = 100 * time.Millisecond
	// migrateRetry is the delay before another search for a placement for a stream that has to
	// migrate.
	migrateRetry = 200 * time.Millisecond
)

// subscribeMigrations makes the attempt migrate when the pool's owner requests it.
func (w *watch) subscribeMigrations() {
	s := w.attempt.relay.parts.Suspicions
	if s == nil {
		return
	}
	w.stopMigrations = s.OnMigrate(w.attempt.request.ID, w.migrate)
}

// unsubscribe undoes subscribeMigrations and stops the timer of observePause. The caller holds
// the lock.
func (w *watch) unsubscribe() {
	if w.stopMigrations != nil {
		w.stopMigrations()
	}
	if w.suspectTimer != nil {
		w.suspectTimer.Stop()
	}
}

// observePause adds the pause that has just ended to the moving average and restarts the timer
// that reports the next one if it becomes too long. The caller holds the lock.
func (w *watch) observePause(now time.Time) {
	if w.attempt.relay.parts.Suspicions == nil || w.stopped.Err() != nil {
		return
	}
	if w.hasEvents {
		pause := now.Sub(w.lastActivity)
		if w.meanPause == 0 {
			w.meanPause = pause
		}
		w.meanPause += time.Duration(pauseWeight * float64(pause-w.meanPause))
	}
	if w.suspectTimer == nil {
		w.suspectTimer = time.AfterFunc(w.suspectAfter(), w.suspect)
		return
	}
	w.suspectTimer.Reset(w.suspectAfter())
}

// suspectAfter returns the length from which a silence is reported.
func (w *watch) suspectAfter() time.Duration {
	return max(pool.MinSuspectSilence, pool.SuspectGapFactor*w.meanPause)
}

// suspect reports to the pool's owner that the stream is silent, and repeats this while the
// silence lasts. It skips a report for which the timer has fired too late.
func (w *watch) suspect() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped.Err() != nil || w.next != nil || w.abandoned {
		return
	}
	silence := time.Since(w.lastActivity)
	if silence < w.suspectAfter() {
		// An event arrived as the timer fired.
		return
	}
	if (silence-w.suspectAfter())%pool.MinSuspectSilence < timerTolerance {
		t := w.attempt
		t.relay.Metrics.add("suspicions")
		t.relay.parts.Suspicions.ReportSilence(t.request.ID, t.request.Service, silence)
	}
	w.suspectTimer.Reset(pool.MinSuspectSilence)
}

// migrate makes the attempt leave its endpoint, because an endpoint that works on the attempt
// has stopped. A stream with events first searches for another placement, and repeats the search
// while there is none. An attempt without events ends at once, which frees its engines, and the
// request is placed again.
func (w *watch) migrate() {
	w.mu.Lock()
	ended := w.stopped.Err() != nil || w.next != nil || w.abandoned
	begun := w.hasEvents
	if !ended && !begun {
		w.abandoned = true
		w.cancel()
	}
	w.mu.Unlock()
	if ended || !begun {
		return
	}
	w.attempt.relay.Metrics.add("moves")
	w.replace()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.next == nil && w.stopped.Err() == nil {
		w.timer.Reset(migrateRetry)
	}
}
