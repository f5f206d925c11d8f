// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import (
	"slices"
	"time"

	"github.com/linkmast/linkmast/batch"
)

// Request describes a request to place.
type Request struct {
	// ID identifies the attempt.
	ID string
	// Prompt is the length of the prompt in tokens.
	Prompt int
	// Output is the expected length of the answer in tokens.
	Output int
	// Gap is the longest allowed pause between events; zero means no limit.
	Gap time.Duration
	// TargetAt is the latest time at which the first event is on time.
	TargetAt time.Time
	// GiveUpAt is when the caller gives up if no event has come; zero when unknown.
	GiveUpAt time.Time
	// Worth is the worth of an answer on time, and LateWorth that of a late one.
	Worth     float64
	LateWorth float64
	// TransitTime is how long the request takes to reach an engine.
	TransitTime time.Duration
	// Exclude lists the endpoints that must not be used, by Engine.Instance.
	Exclude []string
	// LongPrefills describes the competition by long prompts.
	LongPrefills LongPrefills
}

// stake returns the worth lost when the request is late.
func (r *Request) stake() float64 {
	return r.Worth - r.LateWorth
}

// Work returns the engine time that the request takes.
func (r *Request) Work(m *batch.Model) time.Duration {
	return m.Work(r.Prompt, r.Output)
}

// Share is the contribution of a helper to a joint prefill.
type Share struct {
	// Engine is the helper.
	Engine *Engine
	// Memory is the memory that the helper holds for the request, in tokens.
	Memory int
}

// Plan assigns a request to engines.
type Plan struct {
	// Engine receives the request and decodes the answer.
	Engine *Engine
	// Others help with the prefill.
	Others []Share
	// PrefillTime is the prefill time on each engine, without its slowdown.
	PrefillTime time.Duration
	// Memory is the memory that the request takes on Engine, in tokens.
	Memory int
	// TimeToFirstEvent is a prediction, counted from the time of the plan.
	TimeToFirstEvent time.Duration
	// OthersLoss is the worth that other requests lose.
	OthersLoss float64
	// OwnLoss is the worth that the request itself loses by a late first event.
	OwnLoss float64
	// DecodeCost is the cost of decoding on Engine: long pauses in the request's own stream,
	// and an engine that future long prefills can't use.
	DecodeCost float64
}

// MaxPrefillEngines bounds the number of engines in a joint prefill, including the one that
// receives the request.
const MaxPrefillEngines = 17

// engineCounts lists the numbers of engines to try. Numbers in between would take time and
// improve plans little.
var engineCounts = [...]int{1, 2, 3, 4, 6, 8, 12, MaxPrefillEngines}

// MakePlan returns the cheapest plan for the request, or false when no engine can take it.
func MakePlan(engines []*Engine, r Request, now time.Time) (Plan, bool) {
	usable := make([]*Engine, 0, len(engines))
	for _, e := range engines {
		if e.Closed || slices.Contains(r.Exclude, e.Instance) {
			continue
		}
		e.Advance(now)
		usable = append(usable, e)
	}
	best, found := Plan{}, false
	cands := make([]candidate, 0, len(usable))
	ev := newEvaluation(usable, now)
	for _, n := range engineCounts {
		if n > len(usable) || n > 1 && usable[0].Model.PrefillTime(r.Prompt, n) < minShareTime {
			break
		}
		p, ok := planWithEngines(usable, r, n, ev, cands)
		if ok && (!found || p.Cost()+p.helpersCost() < best.Cost()+best.helpersCost()) {
			best, found = p, true
		}
	}
	return best, found
}

// MinPrefillTime returns the shortest time in which the engines could prefill the request's
// prompt together if all of them were idle, but at least minShareTime. It is zero without
// engines. All engines must have the same model, but may differ in their slowdown.
func MinPrefillTime(engines []*Engine, r Request) time.Duration {
	if len(engines) == 0 {
		return 0
	}
	return max(shortestPrefill(engines, r.Prompt), minShareTime)
}

// minShareTime is the shortest prefill of one engine in a joint prefill. Below it, the shorter
// prefill does not justify one more engine that may fail.
const minShareTime = 40 * time.Millisecond

// planWithEngines returns the cheapest plan with n engines, or false when there is none. It
// reuses the memory of cands.
func planWithEngines(usable []*Engine, r Request, n int, ev *evaluation, cands []candidate) (Plan, bool) {
	share := promptShare{
		tokens:      r.Prompt / n,
		time:        usable[0].Model.PrefillTime(r.Prompt, n),
		joint:       n > 1,
		transitTime: r.TransitTime,
	}
	cands = r.candidates(usable, share, ev, cands[:0])
	need := r.Prompt + r.Output
	receiver, chosen := selectEngines(cands, need, n)
	if receiver < 0 {
		return Plan{}, false
	}
	p := Plan{
		Engine:      chosen[receiver].engine,
		PrefillTime: share.time,
	}
	for i, c := range chosen {
		p.OthersLoss += c.othersLoss
		p.TimeToFirstEvent = max(p.TimeToFirstEvent, c.firstEvent)
		if i != receiver {
			p.Others = append(p.Others, Share{
				Engine: c.engine,
			})
		}
	}
	if !p.allocateMemory(need) {
		return Plan{}, false
	}
	p.OwnLoss = r.ownLoss(p.TimeToFirstEvent, ev.now)
	p.DecodeCost = chosen[receiver].decodeCost
	return p, true
}
