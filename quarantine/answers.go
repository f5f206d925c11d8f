// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"maps"
	"time"
)

// maxRecentStarts bounds the answered attempts whose starts are kept; no decision needs more.
const maxRecentStarts = 4 * minOtherAnswers

// answerPurgeInterval is the least time between two searches for answers that are too old.
const answerPurgeInterval = time.Second

// recordStart records the start of an answered attempt with parts. The caller must hold the lock.
func (r *Registry) recordStart(at time.Time) {
	if len(r.recentStarts) >= maxRecentStarts {
		r.recentStarts = append(r.recentStarts[:0], r.recentStarts[1:]...)
	}
	r.recentStarts = append(r.recentStarts, at)
}

// answeredSince returns how many of the last answered attempts were started after a time. The caller
// must hold the lock.
func (r *Registry) answeredSince(since time.Time) int {
	n := 0
	for _, at := range r.recentStarts {
		if at.After(since) {
			n++
		}
	}
	return n
}

// answeredPart records a complete answer to a request with a part, whose attempt was started at the
// given time. If that was after the first crash under the part, the part is not the cause, and is
// cleared. An earlier one shows only that it was not the cause before. AnsweredPart reports whether
// the instances that count crashes need to know of the answer: the part is suspected or banned, and
// the answer tells more than the last. The caller must hold the lock.
func (r *Registry) answeredPart(id Identity, startedAt time.Time) bool {
	r.rememberAnswer(id, startedAt)
	if b := r.bans[id]; b != nil && startedAt.After(b.since) {
		return r.clear(id)
	}
	s := r.suspects[id]
	switch {
	case s == nil:
		return false
	case startedAt.After(s.since()):
		delete(r.suspects, id)
		r.stats.Cleared++
		r.notifyListeners(Verdict{
			Identity: id,
			Part:     true,
			State:    Cleared,
		})
		return true
	case s.answered:
		return false
	}
	s.answered = true
	return true
}

// rememberAnswer records the start of an answered attempt with a part. If too many parts are known,
// it drops the answers that are too old to matter, once in answerPurgeInterval, or else the new one.
// The caller must hold the lock.
func (r *Registry) rememberAnswer(id Identity, startedAt time.Time) {
	now := r.now()
	known, ok := r.answers[id]
	if !ok && len(r.answers) >= maxRecentAnswers && now.Sub(r.answersPurgedAt) >= answerPurgeInterval {
		r.answersPurgedAt = now
		maps.DeleteFunc(r.answers, func(_ Identity, at time.Time) bool { return now.Sub(at) > answerRetention })
	}
	if startedAt.After(known) && (ok || len(r.answers) < maxRecentAnswers) {
		r.answers[id] = startedAt
	}
}

// LastAnswer returns the verdict that tells an instance which counts crashes of the last answer to a
// request with a part, if there is one.
func (r *Registry) LastAnswer(part Identity) (Verdict, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.answers[part]
	if !ok || r.now().Sub(at) > answerRetention {
		return Verdict{}, false
	}
	return partAnswer(part, at), true
}

// partAnswer returns the verdict that reports an answer to a request with a part.
func partAnswer(part Identity, startedAt time.Time) Verdict {
	return Verdict{
		Identity:  part,
		Part:      true,
		State:     Cleared,
		StartedAt: startedAt,
	}
}
