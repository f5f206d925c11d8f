// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package emulator

import "time"

// reportLag is how old what engines tell of themselves is: the lag that the sheets of
// engines state.
const reportLag = 200 * time.Millisecond

// paceSince is a pace that holds from a moment on.
type paceSince struct {
	at   time.Time
	slow float64
}

// paceAt returns the pace that an engine had at a moment.
func (e *engine) paceAt(at time.Time) float64 {
	slow := 1.0
	for _, p := range e.paces {
		if !p.at.After(at) {
			slow = p.slow
		}
	}
	return slow
}

// reports lets engines tell their pace. It implements pool.SlowdownQuerier.
type reports struct {
	play *play
}

// QuerySlowdown implements pool.SlowdownQuerier. An engine that stands still doesn't answer.
func (r reports) QuerySlowdown(address string, told func(pace float64)) {
	p := r.play
	e := p.engines[address]
	p.clock.after(p.ways(1), func() {
		if e.slow == 0 {
			return
		}
		pace := e.paceAt(p.clock.now.Add(-reportLag))
		p.clock.after(p.ways(1), func() { told(pace) })
	})
}
