// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"time"

	"github.com/linkmast/linkmast/quarantine/quarantinepb"
)

// EncodeCrash returns the message for a crash. Its times are sent as ages at now.
func EncodeCrash(c Crash, now time.Time) *quarantinepb.Crashed {
	return &quarantinepb.Crashed{
		Attempt:  c.Attempt,
		Before:   c.PreviousAttempt,
		Identity: uint64(c.Identity),
		Endpoint: c.Endpoint,
		Others:   c.OtherEndpoints,
		BeganUs:  now.Sub(c.StartedAt).Microseconds(),
		EndedUs:  now.Sub(c.EndedAt).Microseconds(),
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
		OtherEndpoints:  m.GetOthers(),
		StartedAt:       ago(m.GetBeganUs()),
		EndedAt:         ago(m.GetEndedUs()),
	}
}

// EncodeVerdict returns the message for a verdict.
func EncodeVerdict(v Verdict) *quarantinepb.Verdict {
	return &quarantinepb.Verdict{
		Identity: uint64(v.Identity),
		State:    int32(v.State),
		ForUs:    v.Remaining.Microseconds(),
		Times:    int32(v.BanCount),
	}
}

// DecodeVerdict returns the verdict of a message.
func DecodeVerdict(m *quarantinepb.Verdict) Verdict {
	return Verdict{
		Identity:  Identity(m.GetIdentity()),
		State:     State(m.GetState()),
		Remaining: time.Duration(m.GetForUs()) * time.Microsecond,
		BanCount:  int(m.GetTimes()),
	}
}
