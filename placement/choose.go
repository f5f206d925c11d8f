// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import (
	"cmp"
	"slices"
	"time"
)

// The measures of filling engines in order.
const (
	// maxPackedPrompt is the longest prompt that engines are filled with, in
	// tokens; reading it takes less than half of the shortest pause that counts.
	maxPackedPrompt = 24_000
	// maxPackedPass is the longest pass that filling may lead to: well below the
	// shortest pause that counts on the sheets, 250 ms, as several prompts may
	// arrive in one pass.
	maxPackedPass = 150 * time.Millisecond
	// maxPackedTargetShare is the part of the target up to which the first event may take
	// on an engine that is filled.
	maxPackedTargetShare = 0.75
	// reservedSlots is how many slots filling leaves free.
	reservedSlots = 2
)

// The differences up to which candidates count as equal.
const (
	// costTolerance is one of cost, in units of worth.
	costTolerance = 0.02
	// firstEventTolerance is one of the time to the first event.
	firstEventTolerance = 2 * time.Millisecond
)

// candidates returns what reading a part of the request would do on each engine,
// the best first. Out is room for them.
func (r *Request) candidates(engines []*Engine, p promptShare, o *evaluation, out []candidate) []candidate {
	for i, e := range engines {
		c := e.estimate(&o.loads[i], p)
		if p.joint && c.jointPrefill {
			// The new part would go before the one that is being read.
			continue
		}
		if c.needsSimulation {
			o.simulate(&c, i, p)
		}
		c.index = i
		c.cost = othersLossWeight*c.othersLoss + r.ownLoss(c.firstEvent, o.now)
		c.crowded = c.isCrowded(r.TargetAt.Sub(o.now))
		c.decodeCost = r.blockingCost(e) + r.pauseLoss(c.pause)
		if !p.joint {
			c.cost += c.decodeCost
		}
		out = append(out, c)
	}
	slices.SortFunc(out, r.compare)
	return out
}

// selectEngines returns n of the candidates, which are in order, and which of them gets
// the request: among those that can, the one that costs least as its head. The others are
// the cheapest. The index is negative when none can.
func selectEngines(cands []candidate, need, n int) (int, []candidate) {
	if len(cands) < n {
		return -1, nil
	}
	head := -1
	for i := range cands {
		c := &cands[i]
		if !c.hasSlot || c.freeMemory < need/n {
			continue
		}
		if head < 0 || n > 1 && c.cost+c.decodeCost < cands[head].cost+cands[head].decodeCost-costTolerance {
			head = i
		}
	}
	if head < n {
		return head, cands[:n]
	}
	// What comes before it in order are the others.
	chosen := slices.Concat(cands[:n-1], cands[head:head+1])
	return n - 1, chosen
}

// compare orders candidates: those with the least cost first. Among equals, short
// prompts fill the engines from the front of the fixed order as long as passes stay
// short, and long ones take them from the back: so the long ones find engines where
// they make nobody wait.
func (r *Request) compare(a, b candidate) int {
	if d := a.cost - b.cost; d < -costTolerance || d > costTolerance {
		return cmp.Compare(a.cost, b.cost)
	}
	if r.Prompt > maxPackedPrompt {
		if d := a.firstEvent - b.firstEvent; d < -firstEventTolerance || d > firstEventTolerance {
			return cmp.Compare(a.firstEvent, b.firstEvent)
		}
		return cmp.Compare(b.index, a.index)
	}
	if c := cmp.Compare(a.crowded, b.crowded); c != 0 {
		return c
	}
	if a.crowded == 0 {
		return cmp.Compare(a.index, b.index)
	}
	return cmp.Compare(a.firstEvent, b.firstEvent)
}

// isCrowded returns 1 for an engine that should not be filled further: with a
// long pass now or next, or none but the last slots free.
func (c *candidate) isCrowded(target time.Duration) int {
	if c.pass > maxPackedPass || c.freeSlots <= reservedSlots || c.firstEvent > time.Duration(maxPackedTargetShare*float64(target)) {
		return 1
	}
	return 0
}
