// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"time"

	"github.com/linkmast/linkmast/pool"
)

// The measures of suspecting a silent stream.
const (
	// usualWeight is the weight of one more pause in a stream's usual one: the last four
	// count for two thirds, so that one long pass does not make a pause usual.
	usualWeight = 0.25
	// lateTimer is how much later than set a timer may end, in each pool.MinSuspectSilence of the
	// silence: with more, this instance stood still, and not the endpoint.
	lateTimer = 100 * time.Millisecond
	// moveAgain is when another place is looked for again after there was none for a
	// stream whose endpoint has stopped.
	moveAgain = 200 * time.Millisecond
)

// listen has the attempt move when the owner of the pool says so.
func (w *watch) listen() {
	s := w.try.relay.parts.Suspicions
	if s == nil {
		return
	}
	w.stopMoves = s.OnMigrate(w.try.ask.ID, w.move)
}

// unlisten ends what listen and notePause began. The caller holds the lock.
func (w *watch) unlisten() {
	if w.stopMoves != nil {
		w.stopMoves()
	}
	if w.early != nil {
		w.early.Stop()
	}
}

// notePause learns the usual pause between events from one that has ended, and suspects
// the next when it lasts for much longer. The caller holds the lock.
func (w *watch) notePause(now time.Time) {
	if w.try.relay.parts.Suspicions == nil || w.stopped.Err() != nil {
		return
	}
	if w.begun {
		pause := now.Sub(w.heard)
		if w.usual == 0 {
			w.usual = pause
		}
		w.usual += time.Duration(usualWeight * float64(pause-w.usual))
	}
	if w.early == nil {
		w.early = time.AfterFunc(w.overdue(), w.suspect)
		return
	}
	w.early.Reset(w.overdue())
}

// overdue returns the silence that is suspected.
func (w *watch) overdue() time.Duration {
	return max(pool.MinSuspectSilence, pool.SuspectGapFactor*w.usual)
}

// suspect tells the owner of the pool that the stream is silent, and again while it is.
func (w *watch) suspect() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped.Err() != nil || w.next != nil || w.left {
		return
	}
	silence := time.Since(w.heard)
	if silence < w.overdue() {
		// An event came at this moment.
		return
	}
	if (silence-w.overdue())%pool.MinSuspectSilence < lateTimer {
		t := w.try
		t.relay.Metrics.add("suspicions")
		t.relay.parts.Suspicions.ReportSilence(t.ask.ID, t.ask.Service, silence)
	}
	w.early.Reset(pool.MinSuspectSilence)
}

// move has the attempt leave its endpoint, which has stopped. A stream that has begun
// leaves once it has another place. One that has not waits for its place better without
// the engines that it keeps.
func (w *watch) move() {
	w.mu.Lock()
	gone := w.stopped.Err() != nil || w.next != nil || w.left
	begun := w.begun
	if !gone && !begun {
		w.left = true
		w.cancel()
	}
	w.mu.Unlock()
	if gone || !begun {
		return
	}
	w.try.relay.Metrics.add("moves")
	w.replace()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.next == nil && w.stopped.Err() == nil {
		w.timer.Reset(moveAgain)
	}
}
