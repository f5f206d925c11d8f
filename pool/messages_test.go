// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/linkmast/linkmast/notice"
	"github.com/linkmast/linkmast/quarantine"
)

// TestMessages guards against fields that are lost in the messages for placement requests, notices
// and grants. It fails for a new field that is not set here, except in PrefillShare, whose
// Reservation is not sent.
func TestMessages(t *testing.T) {
	t.Run("placement request", func(t *testing.T) {
		is := is.New(t)
		a := PlacementRequest{
			ID:             "a",
			Service:        "s",
			Customer:       "c",
			Rank:           1,
			Route:          "r",
			RouteRank:      8,
			Content:        9,
			Prompt:         2,
			Output:         3,
			Target:         -4 * time.Millisecond,
			Gap:            5 * time.Millisecond,
			Deadline:       6 * time.Millisecond,
			Exclude:        []string{"e"},
			Avoid:          []string{"f"},
			DrainedDomains: []string{"g"},
			Returning:      true,
			Elapsed:        7 * time.Millisecond,
			Retry:          true,
			Counted:        true,
			Replaces: ReplacedAttempt{
				ID:        "b",
				SilentFor: 8 * time.Millisecond,
				Patience:  -9 * time.Millisecond,
			},
			Resumed: true,
			DueIn:   -10 * time.Millisecond,
			Backoffs: []Backoff{
				{
					Instance: "h",
					Duration: 11 * time.Millisecond,
				},
			},
		}
		assertSet(t, a)
		assertSet(t, a.Backoffs[0])
		assertSet(t, a.Replaces)
		is.Equal(decodePlacementRequest(encodePlacementRequest(&a)), a)
	})
	t.Run("notice", func(t *testing.T) {
		n := notice.Notice{
			Instance:  "i",
			StartedAt: time.UnixMilli(1796256000123),
			Limited:   true,
			Rate:      1.5,
			Leaving:   true,
			Revision:  2,
		}
		assertSet(t, n)
		is.New(t).Equal(decodeNotice(encodeNotice(n)), n)
	})
	t.Run("grant", func(t *testing.T) {
		is := is.New(t)
		g := Grant{
			Instance:  "i",
			Address:   "a:1",
			StartedAt: time.UnixMilli(1796256000123),
			Shares: []PrefillShare{
				{
					Instance: "j",
					Address:  "b:1",
					Reserved: 1,
				},
			},
			FirstEventIn: time.Millisecond,
			Waited:       2 * time.Millisecond,
			DecidedBy:    "n",
		}
		assertSet(t, g)
		is.Equal(decodeGrant(encodeGrant("x", &g)), g)
	})
}

// TestCrashMessages guards against lost fields in the messages for crashes and verdicts, and
// against large messages: an owner gets many crash reports at once when a failure domain is lost,
// and an instance that starts gets all bans.
func TestCrashMessages(t *testing.T) {
	t.Run("crash", func(t *testing.T) {
		is := is.New(t)
		now := time.Now()
		c := quarantine.Crash{
			Attempt:         "0123456789abcdef.an-instance-of-a-long-name-17.zz",
			PreviousAttempt: "0123456789abcdef.an-instance-of-a-long-name-17.zy",
			Endpoint:        "10.128.100.100:8080",
			Incarnation:     1 << 60,
			OtherEndpoints:  []string{"10.128.100.101:8080"},
			Identity:        1 << 63,
			Parts:           []quarantine.Identity{1 << 62, 1 << 61},
			StartedAt:       now.Add(-2 * time.Second),
			EndedAt:         now.Add(-time.Second),
		}
		assertSet(t, c)
		m := crashMessage(c, now)
		is.Equal(quarantine.DecodeCrash(m.GetCrashed(), now), c)
		c.OtherEndpoints = nil
		is.True(proto.Size(crashMessage(c, now)) <= 192+4+2*8) // each part adds its hash
		c.Parts = nil
		is.True(proto.Size(crashMessage(c, now)) <= 192)
		c.OtherEndpoints = []string{"10.128.100.101:8080", "10.128.100.102:8080"}
		is.True(proto.Size(crashMessage(c, now)) <= 192+2*24) // each engine of a joint prefill adds its address
	})
	t.Run("verdict", func(t *testing.T) {
		is := is.New(t)
		now := time.Now()
		v := quarantine.Verdict{
			Identity:  1 << 63,
			Part:      true,
			State:     quarantine.Banned,
			Remaining: 24 * time.Hour,
			BanCount:  9,
			Since:     now.Add(-time.Second),
			StartedAt: now.Add(-2 * time.Second),
		}
		assertSet(t, v)
		is.Equal(quarantine.DecodeVerdict(quarantine.EncodeVerdict(v, now), now), v)
		// Bans have no times.
		v.Since, v.StartedAt = time.Time{}, time.Time{}
		is.Equal(quarantine.DecodeVerdict(entryVerdictMessage(v).GetVerdict(), now), v)
		is.Equal(quarantine.DecodeVerdict(ownerVerdictMessage(v).GetVerdict(), now), v)
		is.True(proto.Size(entryVerdictMessage(v)) <= 32)
	})
}

// assertSet fails the test for each field of a struct that is zero.
func assertSet(t *testing.T, v any) {
	t.Helper()
	s := reflect.ValueOf(v)
	for i := range s.NumField() {
		if s.Field(i).IsZero() {
			t.Errorf("%s is not set", s.Type().Field(i).Name)
		}
	}
}
