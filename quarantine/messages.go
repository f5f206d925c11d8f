// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"time"

	"github.com/linkmast/linkmast/quarantine/quarantinepb"
)

// EncodeCrash returns the message for a crash. Its times are sent as ages at now.
func EncodeCrash(c Crash, now time.Time) *quarantinepb.Crashed {
	return &quarantinepb.Crashed{
		Attempt:     c.Attempt,
		Before:      c.PreviousAttempt,
		Identity:    uint64(c.Identity),
		Endpoint:    c.Endpoint,
		Incarnation: uint64(c.Incarnation),
		Others:      c.OtherEndpoints,
		Parts:       encodeIdentities(c.Parts),
		BeganUs:     now.Sub(c.StartedAt).Microseconds(),
		EndedUs:     now.Sub(c.EndedAt).Microseconds(),
	}
}

// DecodeCrash returns the crash of a message that was received at now.
func DecodeCrash(m *quarantinepb.Crashed, now time.Time) Crash {
	ago := func(us int64) time.Time { return now.Add(-time.Duration(us) * time.Microsecond) }
	return Crash{
		Attempt:         m.GetAttempt(),
		PreviousAttempt: m.GetBefore(),
		Identity:        Identity(m.GetIdentity()),
		Endpoint:        m.GetEndpoint(),
		Incarnation:     Incarnation(m.GetIncarnation()),
		OtherEndpoints:  m.GetOthers(),
		Parts:           decodeIdentities(m.GetParts()),
		StartedAt:       ago(m.GetBeganUs()),
		EndedAt:         ago(m.GetEndedUs()),
	}
}

// EncodeVerdict returns the message for a verdict. Its times are sent as ages at now.
func EncodeVerdict(v Verdict, now time.Time) *quarantinepb.Verdict {
	return &quarantinepb.Verdict{
		Identity:  uint64(v.Identity),
		State:     int32(v.State),
		ForUs:     v.Remaining.Microseconds(),
		Times:     int32(v.BanCount),
		Part:      v.Part,
		SinceUs:   encodeAge(v.Since, now),
		StartedUs: encodeAge(v.StartedAt, now),
	}
}

// DecodeVerdict returns the verdict of a message that was received at now.
func DecodeVerdict(m *quarantinepb.Verdict, now time.Time) Verdict {
	return Verdict{
		Identity:  Identity(m.GetIdentity()),
		State:     State(m.GetState()),
		Remaining: time.Duration(m.GetForUs()) * time.Microsecond,
		BanCount:  int(m.GetTimes()),
		Part:      m.GetPart(),
		Since:     decodeAge(m.GetSinceUs(), now),
		StartedAt: decodeAge(m.GetStartedUs(), now),
	}
}

// encodeAge returns the age of a time in microseconds, at least one; zero for the zero time.
func encodeAge(at, now time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return max(now.Sub(at).Microseconds(), 1)
}

// decodeAge is the inverse of encodeAge.
func decodeAge(us int64, now time.Time) time.Time {
	if us == 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(us) * time.Microsecond)
}

// encodeIdentities converts identities to numbers.
func encodeIdentities(ids []Identity) []uint64 {
	var out []uint64
	for _, id := range ids {
		out = append(out, uint64(id))
	}
	return out
}

// decodeIdentities is the inverse of encodeIdentities.
func decodeIdentities(numbers []uint64) []Identity {
	var out []Identity
	for _, n := range numbers {
		out = append(out, Identity(n))
	}
	return out
}
