// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import (
	"slices"
	"time"

	"github.com/linkmast/linkmast/batch"
)

// Request is what a plan is made for.
type Request struct {
	// ID names the attempt.
	ID string
	// Prompt is the length of the prompt in tokens.
	Prompt int
	// Output is the likely length of the answer in tokens.
	Output int
	// Gap is the longest pause between events in time; zero means none counts.
	Gap time.Duration
	// TargetAt is when the first event would be late.
	TargetAt time.Time
	// GiveUpAt is when the caller goes if there is no event; zero when that is
	// not known.
	GiveUpAt time.Time
	// Worth is what an answer in time is worth, and LateWorth what a late one is.
	Worth     float64
	LateWorth float64
	// TransitTime is how long it takes until an engine has the request.
	TransitTime time.Duration
	// Exclude are engines that must not be used.
	Exclude []string
	// LongPrefills is what long prompts want of the engines.
	LongPrefills LongPrefills
}

// stake returns what is lost when the request is late.
func (r *Request) stake() float64 {
	return r.Worth - r.LateWorth
}

// Work returns the time of one engine that a request takes.
func (r *Request) Work(m *batch.Model) time.Duration {
	return m.Work(r.Prompt, r.Output)
}

// Share is the part of a plan on an engine that helps.
type Share struct {
	// Engine is the engine that helps.
	Engine *Engine
	// Memory is the memory that it holds for the request, in tokens.
	Memory int
}

// Plan is where a request would run.
type Plan struct {
	// Engine gets the request.
	Engine *Engine
	// Others read the prompt with it.
	Others []Share
	// PrefillTime is the time of reading on each engine.
	PrefillTime time.Duration
	// Memory is the memory that Engine holds, in tokens.
	Memory int
	// TimeToFirstEvent is the predicted time to the first event.
	TimeToFirstEvent time.Duration
	// OthersLoss is what others lose, in units of worth.
	OthersLoss float64
	// OwnLoss is what the request itself loses, in units of worth.
	OwnLoss float64
	// DecodeCost is what its stream costs there where it writes: by pauses of its own, and by
	// closing the engine to readings that come.
	DecodeCost float64
}

// MaxPrefillEngines bounds the engines that read a prompt together: one and sixteen
// that help it.
const MaxPrefillEngines = 17

// engineCounts are the numbers of engines that are tried: more of them cost time, and
// those between gain little.
var engineCounts = [...]int{1, 2, 3, 4, 6, 8, 12, MaxPrefillEngines}

// MakePlan returns the cheapest plan, or false when no engine can take the request.
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
	o := newEvaluation(usable, now)
	for _, n := range engineCounts {
		if n > len(usable) || n > 1 && usable[0].Model.PrefillTime(r.Prompt, n) < minShareTime {
			break
		}
		p, ok := planWithEngines(usable, r, n, o, cands)
		if ok && (!found || p.Cost()+p.helpersCost() < best.Cost()+best.helpersCost()) {
			best, found = p, true
		}
	}
	return best, found
}

// MinPrefillTime returns the least time in which engines of one model, each at its pace, can
// read a request's prompt together if all of them are free, but no less than minShareTime; zero when
// there are none.
func MinPrefillTime(engines []*Engine, r Request) time.Duration {
	if len(engines) == 0 {
		return 0
	}
	return max(minPrefillTime(engines, r.Prompt), minShareTime)
}

// minShareTime is the least time of reading that is split off: with less, one more
// engine that may fail is not worth the shorter pause.
const minShareTime = 40 * time.Millisecond

// planWithEngines returns the cheapest planWithEngines in which n engines read the prompt, or false when
// there is none. Cands is room for the candidates.
func planWithEngines(usable []*Engine, r Request, n int, o *evaluation, cands []candidate) (Plan, bool) {
	share := promptShare{
		tokens:      r.Prompt / n,
		time:        usable[0].Model.PrefillTime(r.Prompt, n),
		joint:       n > 1,
		transitTime: r.TransitTime,
	}
	cands = r.candidates(usable, share, o, cands[:0])
	need := r.Prompt + r.Output
	head, chosen := selectEngines(cands, need, n)
	if head < 0 {
		return Plan{}, false
	}
	p := Plan{
		Engine:      chosen[head].engine,
		PrefillTime: share.time,
	}
	for i, c := range chosen {
		p.OthersLoss += c.othersLoss
		p.TimeToFirstEvent = max(p.TimeToFirstEvent, c.firstEvent)
		if i != head {
			p.Others = append(p.Others, Share{
				Engine: c.engine,
			})
		}
	}
	if !p.allocateMemory(need) {
		return Plan{}, false
	}
	p.OwnLoss = r.ownLoss(p.TimeToFirstEvent, o.now)
	p.DecodeCost = chosen[head].decodeCost
	return p, true
}
