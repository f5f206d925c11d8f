// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"slices"
	"time"
)

// The conditions of the bans of parts.
const (
	// partLimit is the number of ends of endpoints, under as many different requests with a part,
	// that ban it if no answer to a request with it is known. A request that crashes endpoints
	// whatever its parts are is banned by itself.
	partLimit = 3
	// answeredPartLimit is the same if such an answer is known from before the first end, or if
	// answers from that time may be unknown. minOtherAnswers is how many other requests must then
	// have been answered since that end, so that the part is not just one that all requests have
	// while no endpoint answers.
	answeredPartLimit = 5
	minOtherAnswers   = 10
	// answerDelay is the time from the announcement of a suspicion until the answers that other
	// instances know of have been reported.
	answerDelay = 150 * time.Millisecond
	// answerRetention is how long answers to requests with a part are remembered, and
	// minAnswerMemory how long they must have been to be taken to be known.
	answerRetention = time.Minute
	minAnswerMemory = 10 * time.Second
	// maxPartLinks bounds the ends in the chain of a part.
	maxPartLinks = 16
)

// partSuspectFor returns the suspect of a part, which it creates if there is none. The caller must
// hold the lock.
func (r *Registry) partSuspectFor(id Identity, now time.Time) *suspect {
	s := r.suspectFor(id, now)
	if !s.part {
		s.part = true
		if at, ok := r.answers[id]; ok && now.Sub(at) < answerRetention {
			s.answered = true
		}
	}
	return s
}

// extendPart adds the end of an endpoint to the chain of a part, in the order of time, and reports
// whether it did. Ends within commonCauseWindow of another one count once. Of several requests with
// the part at one end, the one that was started last is kept.
func (s *suspect) extendPart(c Crash, e *endpointEnd) bool {
	for i := range s.chain {
		l := &s.chain[i]
		if l.end == e && c.StartedAt.After(l.crash.StartedAt) {
			l.crash = c
		}
		if l.end == e || l.end.at.Sub(e.at).Abs() <= commonCauseWindow {
			return false
		}
	}
	if len(s.chain) >= maxPartLinks {
		// The first end stays, as answers are compared with it.
		s.chain = slices.Delete(s.chain, 1, 2)
	}
	i := slices.IndexFunc(s.chain, func(l chainLink) bool { return l.end.at.After(e.at) })
	if i < 0 {
		i = len(s.chain)
	}
	s.chain = slices.Insert(s.chain, i, chainLink{
		crash: c,
		end:   e,
	})
	return true
}

// since returns when the first crash of the suspect ended; zero if it is not known.
func (s *suspect) since() time.Time {
	if len(s.chain) == 0 {
		return s.announcedSince
	}
	return s.chain[0].end.at
}

// settledRequests returns the number of different requests of the settled links.
func (s *suspect) settledRequests() int {
	var seen []Identity
	for _, l := range s.chain {
		if l.settled && !slices.Contains(seen, l.crash.Identity) {
			seen = append(seen, l.crash.Identity)
		}
	}
	return len(seen)
}

// settleParts decides for each of the parts whether the end of an endpoint counts. It announces the
// parts with two ends that count, and decides on the ban of those at their limit once the answers
// that others know have been reported.
func (r *Registry) settleParts(parts []Identity, end *endpointEnd) {
	known := r.knowsAnswers()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, id := range parts {
		s := r.suspects[id]
		if s == nil {
			continue
		}
		i := slices.IndexFunc(s.chain, func(l chainLink) bool { return l.end == end })
		if i < 0 || r.dropIfCommon(id, s, i) {
			continue
		}
		s.chain[i].settled = true
		r.stats.Counted++
		n := s.settledRequests()
		if n >= partLimit-1 && s.announcedAt.IsZero() {
			s.announcedAt = now
			r.notifyListeners(suspicion(id, s))
		}
		if limit := r.partLimit(id, s, known); n >= limit {
			r.log.Info("part of prompts is under ended endpoints", "identity", id.String(), "ends", s.settledCount(),
				"requests", n, "limit", limit, "answered", s.answered, "other_answers", r.otherAnswers(id, s),
				"explained", r.isExplained(id, s))
			r.judgePartLater(id, end, now)
		}
	}
}

// knowsAnswers reports whether the answers of some time are known, to this instance or to those that
// report them to it. The caller must not hold the lock.
func (r *Registry) knowsAnswers() bool {
	since := r.createdAt
	if r.deps.AnswersKnownSince != nil {
		since = r.deps.AnswersKnownSince()
	}
	return r.now().Sub(since) >= minAnswerMemory
}

// partLimit returns the number of requests that ban a part. Known states whether earlier answers are
// known. The caller must hold the lock.
func (r *Registry) partLimit(id Identity, s *suspect, known bool) int {
	switch {
	case r.retainedBan(id, r.now()) != nil:
		return 1
	case s.answered || !known:
		return answeredPartLimit
	}
	return partLimit
}

// judgePartLater judges a part when answerDelay has passed since its announcement. The caller must
// hold the lock.
func (r *Registry) judgePartLater(id Identity, end *endpointEnd, now time.Time) {
	wait := time.Duration(0)
	if s := r.suspects[id]; !s.announcedAt.IsZero() {
		wait = s.announcedAt.Add(answerDelay).Sub(now)
	}
	time.AfterFunc(max(wait, 0), func() { r.judgePart(id, end) })
}

// judgePart bans a part if it is at its limit, no other part explains the ends, and the endpoint of
// its last end did not end together with others.
func (r *Registry) judgePart(id Identity, end *endpointEnd) {
	known := r.knowsAnswers()
	var ended []EndedEndpoint
	if r.deps.Survey != nil && r.atPartLimit(id, known) {
		ended = r.deps.Survey(r.addressOf(end), end.at.Add(-commonCauseWindow))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordSurveyed(ended, end)
	s := r.suspects[id]
	if s == nil {
		return
	}
	i := slices.IndexFunc(s.chain, func(l chainLink) bool { return l.end == end })
	if i < 0 || r.dropIfCommon(id, s, i) || !r.reachesPartLimit(id, s, known) {
		return
	}
	if r.isExplained(id, s) {
		r.stats.Common++
		return
	}
	r.ban(id, r.now())
}

// atPartLimit reports whether a part is to be banned if nothing else explains its ends.
func (r *Registry) atPartLimit(id Identity, known bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.suspects[id]
	return s != nil && r.reachesPartLimit(id, s, known) && !r.isExplained(id, s)
}

// reachesPartLimit reports whether enough endpoints ended under a part to ban it. The caller must
// hold the lock.
func (r *Registry) reachesPartLimit(id Identity, s *suspect, known bool) bool {
	limit := r.partLimit(id, s, known)
	if s.settledRequests() < limit {
		return false
	}
	return limit < answeredPartLimit || r.otherAnswers(id, s) >= minOtherAnswers
}

// addressOf returns the address of an endpoint that ended; empty if it is no longer known.
func (r *Registry) addressOf(end *endpointEnd) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, e := range r.ends {
		if e == end {
			return address
		}
	}
	return ""
}
