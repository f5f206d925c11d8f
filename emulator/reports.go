// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package emulator

import "time"

// reportLag is how old what engines tell of themselves is: the lag that the sheets of
// engines state.
const reportLag = 200 * time.Millisecond

// slowdownChange is a pace that holds from a moment on.
type slowdownChange struct {
	at       time.Time
	slowdown float64
}

// slowdownAt returns the pace that an engine had at a moment.
func (e *engine) slowdownAt(at time.Time) float64 {
	slow := 1.0
	for _, p := range e.slowdownChanges {
		if !p.at.After(at) {
			slow = p.slowdown
		}
	}
	return slow
}

// slowdownQuerier lets engines tell their pace. It implements pool.SlowdownQuerier.
type slowdownQuerier struct {
	play *play
}

// QuerySlowdown implements pool.SlowdownQuerier. An engine that stands still doesn't answer.
func (r slowdownQuerier) QuerySlowdown(address string, told func(pace float64)) {
	p := r.play
	e := p.engines[address]
	p.clock.after(p.jitteredDelay(1), func() {
		if e.slowdown == 0 {
			return
		}
		pace := e.slowdownAt(p.clock.now.Add(-reportLag))
		p.clock.after(p.jitteredDelay(1), func() { told(pace) })
	})
}
