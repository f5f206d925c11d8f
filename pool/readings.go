// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"time"

	"github.com/linkmast/linkmast/placement"
)

// longReading is the time of reading from which on an engine counts as reading a long
// prompt: with a pass it is more than the shortest pauses on the sheets, 200 ms.
const longReading = 150 * time.Millisecond

// readings returns what long prompts want of the engines when a request is decided on.
func (p *state) readings(w *Waiter, now time.Time) placement.Readings {
	p.longestGap = max(p.longestGap, w.ask.Gap)
	reading, all := 0, 0
	for _, e := range p.list {
		if p.excluded(e, now) {
			continue
		}
		all++
		if e.Unread() > longReading {
			reading++
		}
	}
	return placement.Readings{
		Share: float64(reading) / float64(max(all, 1)),
		Gap:   p.longestGap,
	}
}
