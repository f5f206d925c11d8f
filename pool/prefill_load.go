// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"time"

	"github.com/linkmast/linkmast/placement"
)

// longPrefill is the pending prefill time above which an engine counts as busy with a long
// prompt. With a pass added, it is longer than the shortest gaps that requests allow.
const longPrefill = 150 * time.Millisecond

// prefillLoad returns the part of the healthy engines that is busy with long prompts, and the
// largest Gap of the requests seen so far, including w.
func (p *poolState) prefillLoad(w *Waiter, now time.Time) placement.LongPrefills {
	p.longestGap = max(p.longestGap, w.placementRequest.Gap)
	busy, all := 0, 0
	for _, e := range p.list {
		if p.unhealthy(e, now) {
			continue
		}
		all++
		if e.PendingPrefill() > longPrefill {
			busy++
		}
	}
	return placement.LongPrefills{
		EngineShare: float64(busy) / float64(max(all, 1)),
		MaxGap:      p.longestGap,
	}
}
