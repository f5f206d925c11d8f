// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"time"

	"github.com/linkmast/linkmast/pool"
)

// The measures of suspecting a silent stream.
const (
	// pauseWeight is the weight of one more pause in a stream's usual one: the last four
	// count for two thirds, so that one long pass does not make a pause usual.
	pauseWeight = 0.25
	// timerTolerance is how much later than set a timer may end, in each pool.MinSuspectSilence of the
	// silence: with more, this instance stood still, and not the endpoint.
	timerTolerance = 100 * time.Millisecond
	// migrateRetry is when another place is looked for again after there was none for a
	// stream whose endpoint has stopped.
	migrateRetry = 200 * time.Millisecond
)

// subscribeMigrations has the attempt move when the owner of the pool says so.
func (w *watch) subscribeMigrations() {
	s := w.attempt.relay.parts.Suspicions
	if s == nil {
		return
	}
	w.stopMigrations = s.OnMigrate(w.attempt.request.ID, w.migrate)
}

// unsubscribe ends what listen and notePause began. The caller holds the lock.
func (w *watch) unsubscribe() {
	if w.stopMigrations != nil {
		w.stopMigrations()
	}
	if w.suspectTimer != nil {
		w.suspectTimer.Stop()
	}
}

// observePause learns the usual pause between events from one that has ended, and suspects
// the next when it lasts for much longer. The caller holds the lock.
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

// suspectAfter returns the silence that is suspected.
func (w *watch) suspectAfter() time.Duration {
	return max(pool.MinSuspectSilence, pool.SuspectGapFactor*w.meanPause)
}

// suspect tells the owner of the pool that the stream is silent, and again while it is.
func (w *watch) suspect() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped.Err() != nil || w.next != nil || w.abandoned {
		return
	}
	silence := time.Since(w.lastActivity)
	if silence < w.suspectAfter() {
		// An event came at this moment.
		return
	}
	if (silence-w.suspectAfter())%pool.MinSuspectSilence < timerTolerance {
		t := w.attempt
		t.relay.Metrics.add("suspicions")
		t.relay.parts.Suspicions.ReportSilence(t.request.ID, t.request.Service, silence)
	}
	w.suspectTimer.Reset(pool.MinSuspectSilence)
}

// migrate has the attempt leave its endpoint, which has stopped. A stream that has begun
// leaves once it has another place. One that has not waits for its place better without
// the engines that it keeps.
func (w *watch) migrate() {
	w.mu.Lock()
	gone := w.stopped.Err() != nil || w.next != nil || w.abandoned
	begun := w.hasEvents
	if !gone && !begun {
		w.abandoned = true
		w.cancel()
	}
	w.mu.Unlock()
	if gone || !begun {
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
