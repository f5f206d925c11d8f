// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"slices"
	"time"
)

// overlapSlack is how long before the end of one attempt the next may seem to have started, as the
// crashes reach the counting instance with different delays: some milliseconds, and tens of them from
// a busy instance.
const overlapSlack = 50 * time.Millisecond

// suspect is an identity whose attempts have ended in crashes.
type suspect struct {
	// chain holds consecutive crashes in order: each attempt started after the previous crash.
	chain []chainLink
	// lastSeen is when a crash or a suspicion of the identity was last reported.
	lastSeen time.Time
	// part is set if the identity is that of a part of prompts.
	part bool
	// announcedSince is the end of the first crash under a part as the instance that counts stated
	// it; zero without such a statement.
	announcedSince time.Time
	// answered is set if an attempt with the part that was started before the first crash has been
	// answered.
	answered bool
	// announcedAt is when the suspicion was first announced; zero before.
	announcedAt time.Time
}

// chainLink is one crash of a chain.
type chainLink struct {
	crash Crash
	// end is the end of the endpoint that crashed.
	end *endpointEnd
	// settled reports that the crash counts: no other cause was found.
	settled bool
}

// extend inserts a crash into the chain, in the order of the crashes' times, and reports whether it
// did. It skips a crash whose attempt or endpoint end is already in the chain, and one that breaks
// the sequence: each crash must follow the one before it, as defined by follows.
func (s *suspect) extend(c Crash, e *endpointEnd) bool {
	if slices.ContainsFunc(s.chain, func(l chainLink) bool { return l.end == e || l.crash.Attempt == c.Attempt }) {
		return false
	}
	i := slices.IndexFunc(s.chain, func(l chainLink) bool { return l.crash.EndedAt.After(c.EndedAt) })
	if i < 0 {
		i = len(s.chain)
	}
	if i > 0 && !follows(s.chain[i-1].crash, c) {
		return false
	}
	if i < len(s.chain) && !follows(c, s.chain[i].crash) {
		return false
	}
	s.chain = slices.Insert(s.chain, i, chainLink{
		crash: c,
		end:   e,
	})
	return true
}

// follows reports whether an attempt started after another one had ended, with a tolerance of
// overlapSlack, and ended more than overlapSlack after it. Successive attempts of one request
// always follow each other, even if they are only milliseconds apart.
func follows(before, after Crash) bool {
	if after.PreviousAttempt != "" && after.PreviousAttempt == before.Attempt {
		return true
	}
	return !after.StartedAt.Add(overlapSlack).Before(before.EndedAt) && after.EndedAt.Sub(before.EndedAt) > overlapSlack
}

// indexOfAttempt returns the index of the attempt's link in the chain, or -1.
func (s *suspect) indexOfAttempt(attempt string) int {
	return slices.IndexFunc(s.chain, func(l chainLink) bool { return l.crash.Attempt == attempt })
}

// inJointPrefill reports whether an endpoint took part in the joint prefill of one of the attempts.
func (s *suspect) inJointPrefill(address string) bool {
	return slices.ContainsFunc(s.chain, func(l chainLink) bool { return slices.Contains(l.crash.OtherEndpoints, address) })
}

// settledCount returns the number of settled links.
func (s *suspect) settledCount() int {
	n := 0
	for _, l := range s.chain {
		if l.settled {
			n++
		}
	}
	return n
}
