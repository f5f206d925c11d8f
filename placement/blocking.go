// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import (
	"time"
)

// LongPrefills describes the long prompts that are competing for engines. The zero value stands
// for none.
type LongPrefills struct {
	// EngineShare is the fraction of the engines that are busy with a long prefill.
	EngineShare float64
	// MaxGap is the longest pause that any request has allowed in its stream.
	MaxGap time.Duration
}

// Weights of the cost that a stream causes for future long prefills.
const (
	// blockingPrice is the cost, in units of worth per second, of a stream that keeps all long
	// prefills off its engine while every engine is busy with one. Prefill earns some five units a
	// second, and other engines may be as good, so it is lower than that.
	blockingPrice = 2
	// maxBlockingShare bounds the blocking cost to a fraction of the request's stake, so that
	// no request becomes late to keep an engine free for others.
	maxBlockingShare = 0.3
)

// blockingCost returns the cost that running the request's stream on e causes for future long
// prefills. A long prefill pauses the streams of its engine, so it needs an engine whose streams
// allow long pauses. A stream with a shorter limit than the others lowers openFraction, the part of
// the long prefills that may run on the engine:
//
//	blockingPrice × EngineShare × seconds of decoding × (openFraction before − openFraction after)
//
// Streams with short limits therefore gather on the same engines and leave the others to long
// prefills. Without the cost, every engine would have such streams when a long prompt comes. It is at
// most maxBlockingShare of the request's stake.
func (r *Request) blockingCost(e *Engine) float64 {
	if r.Gap == 0 || r.LongPrefills.MaxGap == 0 {
		return 0
	}
	before := e.shortestGap()
	after := r.Gap
	if before > 0 {
		after = min(before, after)
	}
	decodeTime := e.scaled(time.Duration(r.Output) * e.Model.Step)
	cost := blockingPrice * r.LongPrefills.EngineShare * decodeTime.Seconds() * (r.LongPrefills.openFraction(before) - r.LongPrefills.openFraction(after))
	return min(cost, maxBlockingShare*r.stake())
}

// openFraction returns the fraction of the long prefills that may run on an engine whose
// streams allow pauses up to gap. Zero means that no stream on the engine has a limit.
func (l *LongPrefills) openFraction(gap time.Duration) float64 {
	if gap == 0 {
		return 1
	}
	return min(float64(gap)/float64(l.MaxGap), 1)
}

// shortestGap returns the shortest pause that the engine's streams allow; zero when no stream
// has a limit.
func (e *Engine) shortestGap() time.Duration {
	shortest := time.Duration(0)
	for _, j := range e.Jobs {
		if !j.Helper && j.Gap > 0 && (shortest == 0 || j.Gap < shortest) {
			shortest = j.Gap
		}
	}
	return shortest
}
