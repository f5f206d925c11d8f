// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"slices"
	"time"
)

// overlapSlack is how long before the end of one attempt the next may have begun to count as
// one that follows it: reports of two instances reach the one that counts by ways that
// differ by some milliseconds, and by tens on a busy instance.
const overlapSlack = 50 * time.Millisecond

// suspect is what is known of an identity whose attempts ended with a crash.
type suspect struct {
	// chain are crashes of which each attempt began after the one before had ended, in
	// order.
	chain []chainLink
	// lastSeen is when this was last heard of.
	lastSeen time.Time
}

// chainLink is one crash of a chain.
type chainLink struct {
	crash Crash
	// end is that of the endpoint.
	end *endpointEnd
	// settled states that nothing else was found to have ended the endpoint.
	settled bool
}

// extend adds a crash to the chain if it fits before, between or after those that are there.
// It returns whether it did.
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

// follows states whether an attempt began after another one had ended. Of two attempts of one
// try that is known, however close they are: counting them made it five endpoints in place of
// seven that a request crashed which ends them within milliseconds (test with six endpoints).
func follows(before, after Crash) bool {
	if after.PreviousAttempt != "" && after.PreviousAttempt == before.Attempt {
		return true
	}
	return !after.StartedAt.Add(overlapSlack).Before(before.EndedAt) && after.EndedAt.Sub(before.EndedAt) > overlapSlack
}

// indexOfAttempt returns the link of an attempt, or -1.
func (s *suspect) indexOfAttempt(attempt string) int {
	return slices.IndexFunc(s.chain, func(l chainLink) bool { return l.crash.Attempt == attempt })
}

// ranOnHelper states whether an endpoint worked on one of the attempts, in a joint reading.
func (s *suspect) ranOnHelper(address string) bool {
	return slices.ContainsFunc(s.chain, func(l chainLink) bool { return slices.Contains(l.crash.OtherEndpoints, address) })
}

// settledCount counts the links that are settledCount.
func (s *suspect) settledCount() int {
	n := 0
	for _, l := range s.chain {
		if l.settled {
			n++
		}
	}
	return n
}
