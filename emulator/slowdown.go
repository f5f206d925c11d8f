// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package emulator

import "time"

// reportLag is the age of the slowdown that an engine reports.
const reportLag = 200 * time.Millisecond

// slowdownChange is a change of an engine's slowdown.
type slowdownChange struct {
	at       time.Time
	slowdown float64
}

// slowdownAt returns the slowdown that the engine had at a time; 1 before the first change.
func (e *engine) slowdownAt(at time.Time) float64 {
	slowdown := 1.0
	for _, change := range e.slowdownChanges {
		if !change.at.After(at) {
			slowdown = change.slowdown
		}
	}
	return slowdown
}

// slowdownQuerier implements pool.SlowdownQuerier for the emulated engines.
type slowdownQuerier struct {
	play *play
}

// QuerySlowdown implements pool.SlowdownQuerier. A stopped engine doesn't answer.
func (r slowdownQuerier) QuerySlowdown(address string, report func(slowdown float64)) {
	p := r.play
	e := p.engines[address]
	p.clock.after(p.jitteredDelay(1), func() {
		if e.slowdown == 0 {
			return
		}
		slowdown := e.slowdownAt(p.clock.now.Add(-reportLag))
		p.clock.after(p.jitteredDelay(1), func() { report(slowdown) })
	})
}
