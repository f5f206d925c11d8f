// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"time"

	"github.com/linkmast/linkmast/quarantine/quarantinepb"
)

// EncodeCrash returns the message of a crash that is sent now.
func EncodeCrash(c Crash, now time.Time) *quarantinepb.Crashed {
	return &quarantinepb.Crashed{
		Attempt:  c.Attempt,
		Before:   c.Before,
		Identity: uint64(c.Identity),
		Endpoint: c.Endpoint,
		Others:   c.Others,
		BeganUs:  now.Sub(c.Began).Microseconds(),
		EndedUs:  now.Sub(c.Ended).Microseconds(),
	}
}

// DecodeCrash returns the crash of a message that has come now.
func DecodeCrash(m *quarantinepb.Crashed, now time.Time) Crash {
	ago := func(us int64) time.Time { return now.Add(-time.Duration(us) * time.Microsecond) }
	return Crash{
		Attempt:  m.GetAttempt(),
		Before:   m.GetBefore(),
		Identity: Identity(m.GetIdentity()),
		Endpoint: m.GetEndpoint(),
		Others:   m.GetOthers(),
		Began:    ago(m.GetBeganUs()),
		Ended:    ago(m.GetEndedUs()),
	}
}

// EncodeVerdict returns the message of a verdict.
func EncodeVerdict(v Verdict) *quarantinepb.Verdict {
	return &quarantinepb.Verdict{
		Identity: uint64(v.Identity),
		State:    int32(v.State),
		ForUs:    v.For.Microseconds(),
		Times:    int32(v.Times),
	}
}

// DecodeVerdict returns the verdict of a message.
func DecodeVerdict(m *quarantinepb.Verdict) Verdict {
	return Verdict{
		Identity: Identity(m.GetIdentity()),
		State:    State(m.GetState()),
		For:      time.Duration(m.GetForUs()) * time.Microsecond,
		Times:    int(m.GetTimes()),
	}
}
