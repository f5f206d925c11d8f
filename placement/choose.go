// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import (
	"cmp"
	"slices"
	"time"
)

// Limits for packing short prompts onto the first engines of the list.
const (
	// maxPackedPrompt is the longest prompt that is packed, in tokens. Longer ones would
	// interrupt the packed streams for too long; its prefill takes less than half of the shortest
	// pause limit that is expected.
	maxPackedPrompt = 24_000
	// maxPackedPass is the longest next pass that packing may cause. Several prompts may arrive
	// during one pass, so it stays well below 250 ms, the shortest pause limit that is
	// expected.
	maxPackedPass = 150 * time.Millisecond
	// maxPackedTargetShare is the fraction of the target time within which the first event must
	// come on a packed engine.
	maxPackedTargetShare = 0.75
	// reservedSlots is the number of slots that packing leaves free on an engine.
	reservedSlots = 2
)

// Differences up to which two candidates count as equal.
const (
	// costTolerance applies to costs, in units of worth.
	costTolerance = 0.02
	// firstEventTolerance applies to times to the first event.
	firstEventTolerance = 2 * time.Millisecond
)

// candidates estimates the effect of prefilling share p on each engine and returns the results,
// best first. It omits engines that can't take another joint share yet. It reuses the memory of
// out.
func (r *Request) candidates(engines []*Engine, p promptShare, ev *evaluation, out []candidate) []candidate {
	for i, e := range engines {
		c := e.estimate(&ev.loads[i], p)
		if p.joint && c.jointPrefill {
			// The new share would be prefilled before the joint share in progress.
			continue
		}
		if c.needsSimulation {
			ev.simulate(&c, i, p)
		}
		c.index = i
		c.cost = othersLossWeight*c.othersLoss + r.ownLoss(c.firstEvent, ev.now)
		c.crowded = c.isCrowded(r.TargetAt.Sub(ev.now))
		c.decodeCost = r.blockingCost(e) + r.pauseLoss(c.pause)
		if !p.joint {
			c.cost += c.decodeCost
		}
		out = append(out, c)
	}
	slices.SortFunc(out, r.compare)
	return out
}

// selectEngines returns n of the sorted candidates and the index among them of the one that
// receives the request; -1 when there are fewer than n or none has a free slot and enough memory.
// The receiving engine is the first that qualifies or, in a joint prefill, the one with the
// lowest sum of cost and decode cost, where an earlier one is preferred unless the sum is lower by
// more than costTolerance. The other engines are the cheapest.
func selectEngines(cands []candidate, need, n int) (int, []candidate) {
	if len(cands) < n {
		return -1, nil
	}
	receiver := -1
	for i := range cands {
		c := &cands[i]
		if !c.hasSlot || c.freeMemory < need/n {
			continue
		}
		if receiver < 0 || n > 1 && c.cost+c.decodeCost < cands[receiver].cost+cands[receiver].decodeCost-costTolerance {
			receiver = i
		}
	}
	if receiver < n {
		return receiver, cands[:n]
	}
	// The cheapest candidates help with the prefill.
	chosen := slices.Concat(cands[:n-1], cands[receiver:receiver+1])
	return n - 1, chosen
}

// compare orders candidates by cost. Among candidates of equal cost, short prompts go to the first
// engines of the list until these are crowded. Long prompts go to the engine with the earliest
// first event and, at equal times, to the last engine of the list. This keeps streams off the last
// engines, so that long prompts don't interrupt them.
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

// isCrowded returns 1 for an engine that should not be packed further, because its next pass
// would be long, few slots are free or the first event would come close to the target.
// Otherwise it returns 0.
func (c *candidate) isCrowded(target time.Duration) int {
	if c.pass > maxPackedPass || c.freeSlots <= reservedSlots || c.firstEvent > time.Duration(maxPackedTargetShare*float64(target)) {
		return 1
	}
	return 0
}
