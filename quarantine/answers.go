// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"maps"
	"slices"
	"time"
)

// maxRecentAttempts bounds the answered attempts that are kept.
const maxRecentAttempts = 4 * minOtherAnswers

// recentAnswer is an answered attempt with parts.
type recentAnswer struct {
	parts     []Identity
	startedAt time.Time
}

// answerPurgeInterval is the least time between two searches for answers that are too old.
const answerPurgeInterval = time.Second

// recordAnswer records an answered attempt with parts. The caller must hold the lock.
func (r *Registry) recordAnswer(parts []Identity, startedAt time.Time) {
	if len(r.recentAnswers) >= maxRecentAttempts {
		r.recentAnswers = slices.Delete(r.recentAnswers, 0, 1)
	}
	r.recentAnswers = append(r.recentAnswers, recentAnswer{
		parts:     parts,
		startedAt: startedAt,
	})
}

// otherAnswers returns how many of the last answered attempts were started after the first crash of a
// suspected part, didn't have this part, and have a part in common with those that ran on the
// endpoints that ended: others tell nothing of these endpoints. The caller must hold the lock.
func (r *Registry) otherAnswers(part Identity, s *suspect) int {
	n := 0
	for _, a := range r.recentAnswers {
		if a.startedAt.After(s.since()) && !slices.Contains(a.parts, part) && s.ranBeside(a.parts) {
			n++
		}
	}
	return n
}

// ranBeside reports whether one of the parts ran on an endpoint of the chain.
func (s *suspect) ranBeside(parts []Identity) bool {
	return slices.ContainsFunc(parts, func(part Identity) bool {
		return slices.ContainsFunc(s.chain, func(l chainLink) bool { return slices.Contains(l.end.identities, part) })
	})
}

// answeredParts calls answeredPart for each of the parts of an attempt, and returns the reports. The
// caller must hold the lock.
func (r *Registry) answeredParts(parts []Identity, startedAt time.Time) []Verdict {
	if len(parts) == 0 {
		return nil
	}
	r.recordAnswer(parts, startedAt)
	var out []Verdict
	for _, part := range parts {
		if r.answeredPart(part, startedAt) {
			out = append(out, partAnswer(part, startedAt))
		}
	}
	return out
}

// answeredPart records an answer to a request with a part, complete or begun as MinProgress says, whose
// attempt was started at the given time. If that was after the first crash under the part, the part is not
// the cause, and is cleared. An earlier one shows only that it was not the cause before. AnsweredPart
// reports whether the instances that count crashes need to know of the answer: the part is suspected or
// banned, and the answer tells more than the last. The caller must hold the lock.
func (r *Registry) answeredPart(id Identity, startedAt time.Time) bool {
	r.rememberAnswer(id, startedAt)
	if b := r.bans[id]; b != nil {
		if startedAt.After(b.since) {
			return r.clear(id)
		}
		// The instance that decided on the ban may know an earlier first crash.
		return b.decidedAt.IsZero()
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
