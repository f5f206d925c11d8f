// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"time"

	"github.com/linkmast/linkmast/placement"
)

// longPrefill is the time of reading from which on an engine counts as reading a long
// prompt: with a pass it is more than the shortest pauses on the sheets, 200 ms.
const longPrefill = 150 * time.Millisecond

// prefillLoad returns what long prompts want of the engines when a request is decided on.
func (p *poolState) prefillLoad(w *Waiter, now time.Time) placement.LongPrefills {
	p.longestGap = max(p.longestGap, w.ask.Gap)
	reading, all := 0, 0
	for _, e := range p.list {
		if p.excluded(e, now) {
			continue
		}
		all++
		if e.PendingPrefill() > longPrefill {
			reading++
		}
	}
	return placement.LongPrefills{
		EngineShare: float64(reading) / float64(max(all, 1)),
		MaxGap:      p.longestGap,
	}
}
