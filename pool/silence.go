// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import "time"

// The measures of noticing a silent endpoint.
const (
	// minSilence is the shortest silence that counts: longer than passes that
	// read a long prompt usually take, and early enough for another endpoint to
	// go on before callers give up, after two seconds.
	minSilence = 1300 * time.Millisecond
	// gapSilence is how many of the longest pauses in time a silence lasts
	// before it counts. Callers give up after eight.
	gapSilence = 4
	// firstFactor times the predicted time and firstSilence is how long the
	// first event may take.
	firstFactor  = 2
	firstSilence = 700 * time.Millisecond
)

// ReplaceWithin bounds the search for a place that replaces a silent endpoint. Longer
// than that and the silent endpoint may as well be waited for.
const ReplaceWithin = 300 * time.Millisecond

// Silence returns how long a stream may be silent before another place is looked for,
// and how long until its first event, by its longest pause in time and its prediction.
func Silence(gap, predicted time.Duration) (silence, first time.Duration) {
	silence = max(minSilence, gapSilence*gap)
	return silence, max(silence, firstFactor*predicted+firstSilence)
}

// Replaced is an attempt that an ask is to replace, as it is silent.
type Replaced struct {
	// Attempt names it; empty when the ask replaces none.
	Attempt string
	// For is how long it has been silent.
	For time.Duration
	// Patience is how long its caller waits still before it leaves.
	Patience time.Duration
}

// silenceSlack is what a sign of life may take longer than the engine's model says: the
// way of an event, and most errors of predictions.
const silenceSlack = 150 * time.Millisecond

// keeps returns a refusal for an ask that is to replace an attempt which is silent as
// planned: its engine reads, and is done while the caller still waits. A zero Replaced
// is none.
//
// It guards against streams that leave an engine which reads a long prompt, to be read
// again elsewhere, and against setting that engine aside.
func (p *poolState) keeps(r Replaced, now time.Time) *Refusal {
	at := p.attempts[r.Attempt]
	if at == nil || at.moved {
		return nil
	}
	left, ok := p.expects(r.Attempt, at, r.For, now)
	if !ok || left+silenceSlack > r.Patience {
		return nil
	}
	return &Refusal{
		Reason: "its endpoint is reading",
		After:  left + silenceSlack,
		Kept:   true,
	}
}

// expects returns when an attempt that has been silent for a while gives a sign by the
// model of its engines, and false when the model doesn't know of a reason for the silence.
func (p *poolState) expects(id string, at *attempt, silence time.Duration, now time.Time) (time.Duration, bool) {
	left, known := time.Duration(0), false
	for _, name := range at.endpoints() {
		e := p.engines[name]
		if e == nil {
			return 0, false
		}
		wait, reason := e.NextEvent(id, silence-silenceSlack, now)
		left = max(left, wait)
		known = known || reason
	}
	return left, known
}

// asPlanned states whether an attempt that ended as silent was so for a reason that the
// model knows.
func (p *poolState) asPlanned(id string, at *attempt, now time.Time) bool {
	_, ok := p.expects(id, at, minSilence, now)
	return ok
}
