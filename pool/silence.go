// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import "time"

// Limits on the silence of a stream, after which another endpoint is sought for it.
const (
	// minStreamSilence is the least limit. Passes that prefill a long prompt rarely take as long,
	// and a stream can still be migrated before its caller gives up, after two seconds or more.
	minStreamSilence = 1300 * time.Millisecond
	// silenceGapFactor times the longest allowed pause is the limit for streams that allow long
	// pauses. Callers give up after eight such pauses.
	silenceGapFactor = 4
	// The first event may take firstEventFactor times its predicted time, plus firstEventSlack.
	firstEventFactor = 2
	firstEventSlack  = 700 * time.Millisecond
)

// ReplacementTimeout bounds the search for another endpoint for a silent attempt. A longer search
// gains nothing over waiting for the silent endpoint.
const ReplacementTimeout = 300 * time.Millisecond

// SilenceLimits returns how long a stream may be silent before another endpoint is sought for it:
// between two events, and until the first event. Gap is the longest allowed pause between two
// events, and predicted the predicted time to the first event.
func SilenceLimits(gap, predicted time.Duration) (silence, first time.Duration) {
	silence = max(minStreamSilence, silenceGapFactor*gap)
	return silence, max(silence, firstEventFactor*predicted+firstEventSlack)
}

// ReplacedAttempt is a silent attempt that a placement request is to replace. The zero value means
// none.
type ReplacedAttempt struct {
	// ID is the attempt's ID.
	ID string
	// SilentFor is how long the attempt has been silent.
	SilentFor time.Duration
	// Patience is how much longer its caller is expected to wait.
	Patience time.Duration
}

// silenceSlack is how much later than the model of an engine predicts an event may come. It covers
// the transit of the event and most prediction errors.
const silenceSlack = 150 * time.Millisecond

// refuseReplacement returns a refusal if an attempt should go on rather than be replaced: the model
// of one of its engines explains its silence, and its next event is expected while the caller still
// waits. Otherwise it returns nil.
//
// Replacing such an attempt would prefill its prompt again elsewhere, and count as a fault of an
// engine that works.
func (p *poolState) refuseReplacement(r ReplacedAttempt, now time.Time) *Refusal {
	at := p.attempts[r.ID]
	if at == nil || at.migrating {
		return nil
	}
	left, explained := p.expectedWait(r.ID, at, r.SilentFor, now)
	if !explained || left+silenceSlack > r.Patience {
		return nil
	}
	return &Refusal{
		Reason:       "its endpoint is reading",
		RetryAfter:   left + silenceSlack,
		KeepReplaced: true,
	}
}

// expectedWait returns how long it takes until the next event of a silent attempt, by the models of
// its engines. It returns false if no model explains the silence, or if one of the engines is
// unknown.
func (p *poolState) expectedWait(id string, at *attempt, silence time.Duration, now time.Time) (time.Duration, bool) {
	left, anyExplained := time.Duration(0), false
	for _, name := range at.endpoints() {
		e := p.engines[name]
		if e == nil {
			return 0, false
		}
		wait, explained := e.NextEvent(id, silence-silenceSlack, now)
		left = max(left, wait)
		anyExplained = anyExplained || explained
	}
	return left, anyExplained
}

// silenceExpected reports whether the model explains the silence of an attempt that its entry
// instance ended as silent.
func (p *poolState) silenceExpected(id string, at *attempt, now time.Time) bool {
	_, ok := p.expectedWait(id, at, minStreamSilence, now)
	return ok
}
