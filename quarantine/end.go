// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"maps"
	"slices"
	"time"
)

// The measures of the ends of endpoints.
const (
	// sameEnd is how far apart reports of one end of an endpoint may lie: an instance may
	// notice it by silence, and an endpoint that starts again takes some seconds.
	sameEnd = time.Second
	// together is how far apart endpoints end that have a cause in common: the ends of the
	// answers of one engine reached six instances within 7 ms (incident), and busy ones take
	// some tens.
	together = 50 * time.Millisecond
	// SettleAfter is how long a crash is not counted, so that it is known what else ended at
	// that moment. Who sends a suspected request again waits for as long.
	SettleAfter = 2 * together
	// endKept is how long an end is kept.
	endKept = 2 * time.Second
	// maxIdentities bounds the requests that an end is known to have run: more than engines
	// have slots.
	maxIdentities = 64
)

// end is the end of an endpoint.
type end struct {
	at time.Time
	// ran are the requests that it ran, as far as they were reported.
	ran []Identity
}

// endOf returns the end of an endpoint that a crash tells of. The caller holds the lock, as
// for the functions below.
func (b *Book) endOf(c Crash, now time.Time) *end {
	e := b.ends[c.Endpoint]
	if e == nil || c.Ended.Sub(e.at).Abs() > sameEnd {
		maps.DeleteFunc(b.ends, func(_ string, old *end) bool { return now.Sub(old.at) > endKept })
		e = &end{
			at: c.Ended,
		}
		b.ends[c.Endpoint] = e
	}
	if len(e.ran) < maxIdentities && !slices.Contains(e.ran, c.Identity) {
		e.ran = append(e.ran, c.Identity)
	}
	return e
}

// common states whether an endpoint ended together with one that did not run the requests of a
// suspect, so that these are not what ended them. Those of a joint reading ran it: when their
// ends were known from other requests alone, a prompt that crashes its readers reached 6 to 11
// attempts and was not banned (test with six engines that answer others).
func (b *Book) common(id Identity, s *suspect, e *end) bool {
	for address, other := range b.ends {
		if other == e || other.at.Sub(e.at).Abs() > together {
			continue
		}
		if !slices.Contains(other.ran, id) && !s.workedAt(address) {
			return true
		}
	}
	return false
}

// settle counts a crash unless it has another cause, and bans the identity if it is one too
// many.
func (b *Book) settle(id Identity, attempt string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.suspects[id]
	if s == nil {
		return
	}
	i := s.find(attempt)
	if i < 0 {
		return
	}
	if b.common(id, s, s.chain[i].end) {
		b.figures.Common++
		s.chain = slices.Delete(s.chain, i, i+1)
		return
	}
	s.chain[i].settled = true
	b.figures.Counted++
	now := b.now()
	limit := crashesTolerated
	if b.remembered(id, now) != nil {
		limit = 1
	}
	n := s.settled()
	b.log.Info("request crashed its endpoint", "identity", id.String(), "attempt", attempt, "in_a_row", n, "limit", limit)
	switch {
	case n >= limit && b.explained(id, s):
		b.figures.Common++
		s.chain = nil
	case n >= limit:
		b.ban(id, now)
	case n == limit-1:
		b.told(Verdict{
			Identity: id,
			State:    Suspected,
		})
	}
}
