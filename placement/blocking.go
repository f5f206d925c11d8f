// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import (
	"time"
)

// LongPrefills tells what long prompts want of the engines. The zero value stands for none.
type LongPrefills struct {
	// EngineShare is the part of the engines that read long prompts now.
	EngineShare float64
	// MaxGap is the longest pause that any stream allows.
	MaxGap time.Duration
}

// The measures of what a stream costs the readings that come.
const (
	// blockingPrice is what a second costs for which a stream keeps an engine from all long
	// readings, in units of worth, if all engines read. Reading earns some five units a
	// second, and other engines may be as good. From 1 to 5 the figure of emulated days
	// stays within 0.005.
	blockingPrice = 2
	// maxBlockingShare bounds that to a part of what the stream loses when it is late, so that
	// none is late to keep an engine for others.
	maxBlockingShare = 0.3
)

// blockingCost returns what it costs the readings to come that a stream of the request runs on
// an engine. A reading makes the streams of its engines pause, so it looks for engines
// whose streams bear that. An engine that all can read on is closed by a stream as far as
// that allows less than the longest pause:
//
//	closePrice × share of engines that read × seconds of writing × (open before − open after)
//
// Streams of a kind so gather where such streams run already, and leave the other engines
// to be read on. Without it a long prompt found streams on each engine: the figure of
// emulated days was 0.925, with it 0.947 (60 engines, bursts of long prompts, 24 seeds).
func (r *Request) blockingCost(e *Engine) float64 {
	if r.Gap == 0 || r.LongPrefills.MaxGap == 0 {
		return 0
	}
	before := e.shortestGap()
	after := r.Gap
	if before > 0 {
		after = min(before, after)
	}
	writes := e.scaled(time.Duration(r.Output) * e.Model.Step)
	cost := blockingPrice * r.LongPrefills.EngineShare * writes.Seconds() * (r.LongPrefills.openFraction(before) - r.LongPrefills.openFraction(after))
	return min(cost, maxBlockingShare*r.stake())
}

// openFraction returns which part of the readings an engine is openFraction to whose streams allow pauses
// of a length; zero means that it has none.
func (l *LongPrefills) openFraction(gap time.Duration) float64 {
	if gap == 0 {
		return 1
	}
	return min(float64(gap)/float64(l.MaxGap), 1)
}

// shortestGap returns the shortest pause that streams on the engine allow; zero without
// one that counts.
func (e *Engine) shortestGap() time.Duration {
	shortest := time.Duration(0)
	for _, j := range e.Jobs {
		if !j.Helper && j.Gap > 0 && (shortest == 0 || j.Gap < shortest) {
			shortest = j.Gap
		}
	}
	return shortest
}
