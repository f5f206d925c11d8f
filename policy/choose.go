// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package policy

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Summary is the state of one endpoint as its owner reports it to other instances. It is
// slightly out of date when it arrives.
type Summary struct {
	// Endpoint is the endpoint's ID.
	Endpoint string
	// Backlog is the waiting and unfinished prefill of each priority, in seconds.
	Backlog [Priorities]float32
	// Free is the free memory less the memory that queued requests need, in bytes. It may be
	// negative.
	Free int64
	// Turnover is the rate at which memory becomes free, in bytes per second.
	Turnover float64
	// Slots is the number of free slots less the number of queued requests. It may be negative.
	Slots int
	// Aside states that the endpoint gets no requests, because its owner has ejected it or it
	// is leaving.
	Aside bool
}

// Candidate is an endpoint that may serve a request.
type Candidate struct {
	// Summary is the latest summary of the endpoint.
	Summary
	// Hash is the hash of the endpoint's ID.
	Hash uint64
	// Rate is the prefill rate, R in the package comment, in tokens per second; zero for a plain
	// service.
	Rate float64
	// Memory is the endpoint's KV memory in bytes; zero for a plain service.
	Memory int64
	// Known states that a recent summary of the endpoint is available.
	Known bool
	// Excluded states that the endpoint must get no new requests: it is leaving, or this
	// request has failed on it.
	Excluded bool
	// Pending is the prefill that this instance has sent to the endpoint since the summary, in
	// seconds, by priority.
	Pending [Priorities]float32
	// PendingBytes is the memory that this instance has requested since the summary.
	PendingBytes int64
	// PendingLeases is the number of leases that this instance has requested since the summary.
	PendingLeases int
	// MaxRunning is the maximum number of leases at once.
	MaxRunning int
	// Delay is the network delay to the endpoint's failure domain.
	Delay time.Duration

	// ahead is the sum of Backlog and Pending up to and including each priority.
	ahead [Priorities]float32
}

// Update recomputes derived values. Call it after every change of Backlog or Pending.
func (c *Candidate) Update() {
	sum := float32(0)
	for p := range Priorities {
		sum += c.Backlog[p] + c.Pending[p]
		c.ahead[p] = sum
	}
}

// Decision is the outcome of Choose.
type Decision struct {
	// Index is the index of the chosen candidate; -1 when none is usable.
	Index int
	// Estimate is the estimated time to first token on the chosen candidate; zero with Naive.
	Estimate time.Duration
	// Alternative is the estimate of the next best candidate; the maximum duration when there
	// is none, and zero with Naive.
	Alternative time.Duration
	// Reason explains the choice.
	Reason Reason
}

// Assumed times in estimates.
const (
	// unknownWait is the waiting time assumed for an endpoint without a recent summary.
	unknownWait = 50 * time.Millisecond
	// leaseCost is added for each running, queued and pending lease, to spread decoding over
	// endpoints whose estimates are otherwise equal.
	leaseCost = 500 * time.Microsecond
	// slotWait is added for each slot that must become free first.
	slotWait = 500 * time.Millisecond
	// memoryWait is added when too little memory is free and the turnover is unknown.
	memoryWait = 2 * time.Second
	// longStep is added when prefills of lower priority are outstanding, because the engine
	// finishes its current step first.
	longStep = 20 * time.Millisecond
)

// Choose picks the endpoint for a request. Hit is the fraction of the prompt that is expected
// to be cached on the endpoints that its prefix is assigned to.
func Choose(s Strategy, w *Work, hit float64, cs []Candidate, now time.Time) Decision {
	switch s.(type) {
	case Naive:
		return chooseRandom(w, cs)
	default:
		return chooseWeighed(w, hit, cs, now)
	}
}

// chooseRandom picks any endpoint that is usable for the request.
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

// usable reports whether a candidate can take the request at all.
func usable(w *Work, c *Candidate) bool {
	return !c.Excluded && !c.Aside && (c.Memory == 0 || w.Bytes <= c.Memory)
}

// chooseWeighed picks the endpoint with the lowest estimated time to first token. A single pass
// over the candidates finds the lowest estimates without a cached prefix and the two endpoints
// that the prefix is assigned to by rendezvous hashing (Thaler and Ravishankar, 1998). Each of
// these two is then chosen if its estimate with the expected cache hit is no higher than the
// lowest so far.
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

// scored is a candidate with its estimate or its rendezvous hash.
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

// tie ranks candidates of equal estimate. Requests with the same prefix get the same ranking,
// and requests without a prefix a ranking of their own.
func tie(w *Work, c *Candidate) uint64 {
	if w.Prefix != 0 {
		return Mix(w.Prefix, c.Hash)
	}
	return Mix(xxhash.Sum64String(w.ID), c.Hash)
}

// Mix combines two hashes into one in which every bit depends on both, using the finalizer of
// MurmurHash3.
func Mix(a, b uint64) uint64 {
	h := a ^ (b*0x9e3779b97f4a7c15 + 0x7f4a7c15)
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Estimate returns the estimated time to first token on a candidate: the prefill ahead of the
// request, its own prefill without the cached fraction hit, the waits for memory and slots, and
// the network delay. Without a recent summary, unknownWait replaces the waits for memory and slots.
func Estimate(w *Work, priority int, hit float64, c *Candidate) time.Duration {
	ahead := c.ahead[priority]
	behind := c.ahead[Priorities-1] - ahead
	wait := time.Duration(ahead*float32(time.Second)) + prefill(w, hit, c) + c.Delay
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

func prefill(w *Work, hit float64, c *Candidate) time.Duration {
	if c.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(w.Prompt) * (1 - hit) / c.Rate * float64(time.Second))
}

func memoryDelay(missing int64, turnover float64) time.Duration {
	if turnover <= 0 {
		return memoryWait
	}
	return time.Duration(float64(missing) / turnover * float64(time.Second))
}
