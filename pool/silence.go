// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import "time"

// The measures of noticing a silent endpoint.
const (
	// minStreamSilence is the shortest silence that counts: longer than passes that
	// read a long prompt usually take, and early enough for another endpoint to
	// go on before callers give up, after two seconds.
	minStreamSilence = 1300 * time.Millisecond
	// silenceGapFactor is how many of the longest pauses in time a silence lasts
	// before it counts. Callers give up after eight.
	silenceGapFactor = 4
	// firstEventFactor times the predicted time and firstSilence is how long the
	// first event may take.
	firstEventFactor = 2
	firstEventSlack  = 700 * time.Millisecond
)

// ReplacementTimeout bounds the search for a place that replaces a silent endpoint. Longer
// than that and the silent endpoint may as well be waited for.
const ReplacementTimeout = 300 * time.Millisecond

// SilenceLimits returns how long a stream may be silent before another place is looked for,
// and how long until its first event, by its longest pause in time and its prediction.
func SilenceLimits(gap, predicted time.Duration) (silence, first time.Duration) {
	silence = max(minStreamSilence, silenceGapFactor*gap)
	return silence, max(silence, firstEventFactor*predicted+firstEventSlack)
}

// ReplacedAttempt is an attempt that an ask is to replace, as it is silent.
type ReplacedAttempt struct {
	// ID names it; empty when the ask replaces none.
	ID string
	// SilentFor is how long it has been silent.
	SilentFor time.Duration
	// Patience is how long its caller waits still before it leaves.
	Patience time.Duration
}

// silenceSlack is what a sign of life may take longer than the engine's model says: the
// way of an event, and most errors of predictions.
const silenceSlack = 150 * time.Millisecond

// refuseReplacement returns a refusal for an ask that is to replace an attempt which is silent as
// planned: its engine reads, and is done while the caller still waits. A zero Replaced
// is none.
//
// It guards against streams that leave an engine which reads a long prompt, to be read
// again elsewhere, and against setting that engine aside.
func (p *poolState) refuseReplacement(r ReplacedAttempt, now time.Time) *Refusal {
	at := p.attempts[r.ID]
	if at == nil || at.moved {
		return nil
	}
	left, ok := p.expectedWait(r.ID, at, r.SilentFor, now)
	if !ok || left+silenceSlack > r.Patience {
		return nil
	}
	return &Refusal{
		Reason:       "its endpoint is reading",
		RetryAfter:   left + silenceSlack,
		KeepReplaced: true,
	}
}

// expectedWait returns when an attempt that has been silent for a while gives a sign by the
// model of its engines, and false when the model doesn't know of a reason for the silence.
func (p *poolState) expectedWait(id string, at *attempt, silence time.Duration, now time.Time) (time.Duration, bool) {
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

// silenceExpected states whether an attempt that ended as silent was so for a reason that the
// model knows.
func (p *poolState) silenceExpected(id string, at *attempt, now time.Time) bool {
	_, ok := p.expectedWait(id, at, minStreamSilence, now)
	return ok
}
