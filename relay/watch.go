// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"sync/atomic"
	"time"

	"github.com/linkmast/linkmast/route"
)

// The measures of noticing a silent endpoint.
const (
	// minSilence is the shortest silence that counts: longer than passes that
	// read a long prompt usually take, and early enough for another endpoint to
	// go on before callers give up, after two seconds.
	minSilence = 1300 * time.Millisecond
	// gapSilence is how many of the longest pauses in time a silence lasts
	// before it counts. Callers give up after eight.
	gapSilence = 4
	// firstSilence is how much longer than predicted the first event may take.
	firstSilence = 700 * time.Millisecond
)

// watch ends an attempt whose endpoint is silent.
type watch struct {
	timer  *time.Timer
	limit  time.Duration
	silent atomic.Bool
}

// watch starts the watch of an attempt. Only streams that can be continued at
// one more endpoint are watched: nothing is won by ending another one early.
func (t *try) watch(cancel func()) *watch {
	w := &watch{}
	r := t.job.route
	if r.Kind != route.Streaming || !r.Resumable || t.job.attemptsLeft() <= 0 {
		return w
	}
	w.limit = max(minSilence, gapSilence*r.GapTarget)
	begin := max(w.limit, 2*t.grant.First+firstSilence)
	w.timer = time.AfterFunc(begin, func() {
		w.silent.Store(true)
		cancel()
	})
	return w
}

// touch notes a sign of life.
func (w *watch) touch() {
	if w.timer != nil {
		w.timer.Reset(w.limit)
	}
}

func (w *watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// expired states that the attempt was ended for silence.
func (w *watch) expired() bool {
	return w.silent.Load()
}
