// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package policy

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Summary is what an owner tells others of one endpoint. It lags behind.
type Summary struct {
	// Endpoint is the endpoint's id.
	Endpoint string
	// Backlog is the prefill that waits or is outstanding for each priority,
	// in seconds.
	Backlog [Priorities]float32
	// Free is the memory that is free and not waited for, in bytes; below zero
	// when more is waited for than is free.
	Free int64
	// Turnover is how fast memory comes free, in bytes a second.
	Turnover float64
	// Slots is how many more leases there may be, less those waiting.
	Slots int
	// Aside is true while the endpoint is set aside.
	Aside bool
}

// Candidate is one endpoint that a request may go to.
type Candidate struct {
	// Summary is what was last heard.
	Summary
	// Hash is the hash of the endpoint's id.
	Hash uint64
	// Rate is the prefill rate R in tokens a second; zero for a plain service.
	Rate float64
	// Memory is the endpoint's KV memory in bytes.
	Memory int64
	// Known is false while nothing has been heard of the endpoint.
	Known bool
	// Excluded is true when the endpoint may get no new work: it is leaving,
	// or this request has failed there.
	Excluded bool
	// Pending is the prefill that this entry has sent since the summary, in
	// seconds, by priority.
	Pending [Priorities]float32
	// PendingBytes is the memory that this entry has asked for since then, and
	// PendingLeases how many leases.
	PendingBytes int64
	// PendingLeases is how many leases this entry has asked for since then.
	PendingLeases int
	// MaxRunning bounds the leases.
	MaxRunning int
	// Delay is the delay to the endpoint's failure domain.
	Delay time.Duration

	// ahead is the sum of Backlog and Pending up to each priority.
	ahead [Priorities]float32
}

// Update must be called after a change of Backlog or Pending.
func (c *Candidate) Update() {
	sum := float32(0)
	for p := range Priorities {
		sum += c.Backlog[p] + c.Pending[p]
		c.ahead[p] = sum
	}
}

// Decision is where a request goes.
type Decision struct {
	// Index is the candidate; -1 when there is none.
	Index int
	// Estimate is the estimated time to first token.
	Estimate time.Duration
	// Alternative is the estimate of the next best candidate.
	Alternative time.Duration
	// Reason says why.
	Reason Reason
}

// The measures of the choice.
const (
	// unknownWait is assumed of an endpoint that nothing was heard of.
	unknownWait = 50 * time.Millisecond
	// leaseCost is what each running lease adds, so that decoding is spread
	// where nothing else tells endpoints apart.
	leaseCost = 500 * time.Microsecond
	// slotWait is assumed where no slot is free.
	slotWait = 500 * time.Millisecond
	// memoryWait is assumed where memory is short and its turnover unknown.
	memoryWait = 2 * time.Second
	// longStep is what a prefill in progress adds to the wait of a request
	// that goes ahead of it: the rest of a step.
	longStep = 20 * time.Millisecond
)

// Choose returns where work goes. Hit is the part of the prompt that is
// expected to be cached on the endpoints that its prefix belongs to.
func Choose(s Strategy, w *Work, hit float64, cs []Candidate, now time.Time) Decision {
	switch s.(type) {
	case Naive:
		return chooseRandom(w, cs)
	default:
		return chooseWeighed(w, hit, cs, now)
	}
}

// chooseRandom is the naive choice: any endpoint that can hold the work.
func chooseRandom(w *Work, cs []Candidate) Decision {
	d := Decision{
		Index:  -1,
		Reason: ReasonRandom,
	}
	n := 0
	for i := range cs {
		if !usable(w, &cs[i]) {
			continue
		}
		n++
		if rand.IntN(n) == 0 {
			d.Index = i
		}
	}
	return d
}

// usable states whether a candidate can take the work at all.
func usable(w *Work, c *Candidate) bool {
	return !c.Excluded && !c.Aside && (c.Memory == 0 || w.Bytes <= c.Memory)
}

// chooseWeighed is the choice by least estimated time to first token. One pass
// finds the least estimates without a cached share and the endpoints that the
// prefix belongs to, by rendezvous hashing (Thaler and Ravishankar, 1998); the
// share is then allowed for on those.
func chooseWeighed(w *Work, hit float64, cs []Candidate, now time.Time) Decision {
	priority := Priority(w.RankAt(now), w.Class())
	affine := hit > 0 && w.Prefix != 0
	none := scored{
		index: -1,
	}
	best, next, first, second := none, none, none, none
	for i := range cs {
		c := &cs[i]
		if !usable(w, c) {
			continue
		}
		wait := Estimate(w, priority, 0, c)
		switch {
		case best.index < 0 || wait < best.wait || wait == best.wait && tie(w, c) > tie(w, &cs[best.index]):
			next = best
			best = scored{
				index: i,
				wait:  wait,
			}
		case next.index < 0 || wait < next.wait:
			next = scored{
				index: i,
				wait:  wait,
			}
		}
		if !affine {
			continue
		}
		switch h := Mix(w.Prefix, c.Hash); {
		case first.index < 0 || h > first.hash:
			second = first
			first = scored{
				index: i,
				hash:  h,
			}
		case second.index < 0 || h > second.hash:
			second = scored{
				index: i,
				hash:  h,
			}
		}
	}
	reason := ReasonLeastWait
	for _, f := range []scored{first, second} {
		if f.index < 0 {
			continue
		}
		f.wait = Estimate(w, priority, hit, &cs[f.index])
		if f.wait > best.wait {
			continue
		}
		if f.index != best.index {
			next = best
		}
		best = f
		reason = ReasonPrefix
	}
	return newDecision(best, next, reason)
}

// scored is a candidate on the way to a choice.
type scored struct {
	index int
	wait  time.Duration
	hash  uint64
}

func newDecision(best, next scored, reason Reason) Decision {
	d := Decision{
		Index:       best.index,
		Estimate:    best.wait,
		Alternative: next.wait,
		Reason:      reason,
	}
	if next.index < 0 {
		d.Alternative = time.Duration(math.MaxInt64)
	}
	return d
}

// tie orders candidates of equal estimate, alike for requests of one prefix
// and apart for requests of none.
func tie(w *Work, c *Candidate) uint64 {
	if w.Prefix != 0 {
		return Mix(w.Prefix, c.Hash)
	}
	return Mix(xxhash.Sum64String(w.ID), c.Hash)
}

// Mix combines two hashes into one that depends on both in every bit
// (the finalizer of MurmurHash3).
func Mix(a, b uint64) uint64 {
	h := a ^ (b*0x9e3779b97f4a7c15 + 0x7f4a7c15)
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Estimate returns the estimated time to first token of work at a candidate:
// the prefill ahead of it, its own prefill less the cached share, what waits
// for memory and slots, and the delay.
func Estimate(w *Work, priority int, share float64, c *Candidate) time.Duration {
	ahead := c.ahead[priority]
	behind := c.ahead[Priorities-1] - ahead
	wait := time.Duration(ahead*float32(time.Second)) + prefill(w, share, c) + c.Delay
	wait += leaseCost * time.Duration(c.MaxRunning-c.Slots+c.PendingLeases)
	if !c.Known {
		return wait + unknownWait
	}
	if behind > 0 {
		wait += longStep
	}
	if free := c.Slots - c.PendingLeases; free <= 0 {
		wait += slotWait * time.Duration(1-free)
	}
	if missing := w.Bytes - (c.Free - c.PendingBytes); c.Memory > 0 && missing > 0 {
		wait += memoryDelay(missing, c.Turnover)
	}
	return wait
}

func prefill(w *Work, share float64, c *Candidate) time.Duration {
	if c.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(w.Prompt) * (1 - share) / c.Rate * float64(time.Second))
}

func memoryDelay(missing int64, turnover float64) time.Duration {
	if turnover <= 0 {
		return memoryWait
	}
	return time.Duration(float64(missing) / turnover * float64(time.Second))
}
