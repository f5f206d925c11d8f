// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"time"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/notice"
	"github.com/linkmast/linkmast/pool/poolpb"
	"github.com/linkmast/linkmast/quarantine"
)

// encodePlacementRequest converts a placement request to its message. Durations are sent in
// microseconds.
func encodePlacementRequest(a *PlacementRequest) *poolpb.Ask {
	m := &poolpb.Ask{
		Id:         a.ID,
		Service:    a.Service,
		Customer:   a.Customer,
		Rank:       int32(a.Rank),
		Route:      a.Route,
		RouteRank:  int32(a.RouteRank),
		Content:    a.Content,
		Prompt:     int32(a.Prompt),
		Output:     int32(a.Output),
		TargetUs:   a.Target.Microseconds(),
		GapUs:      a.Gap.Microseconds(),
		DeadlineUs: a.Deadline.Microseconds(),
		Exclude:    a.Exclude,
		Again:      a.Retry,
		Counted:    a.Counted,
		Returning:  a.Returning,
		SpentUs:    a.Elapsed.Microseconds(),
		Avoid:      a.Avoid,
		Emptied:    a.DrainedDomains,
		Replaces: &poolpb.Replaced{
			Attempt:    a.Replaces.ID,
			ForUs:      a.Replaces.SilentFor.Microseconds(),
			PatienceUs: a.Replaces.Patience.Microseconds(),
		},
		Resumed: a.Resumed,
		DueUs:   a.DueIn.Microseconds(),
	}
	for _, r := range a.Backoffs {
		m.Backoffs = append(m.Backoffs, &poolpb.Backoff{
			Instance: r.Instance,
			ForUs:    r.Duration.Microseconds(),
		})
	}
	return m
}

// decodePlacementRequest converts a message to a placement request.
func decodePlacementRequest(m *poolpb.Ask) PlacementRequest {
	a := PlacementRequest{
		ID:             m.GetId(),
		Service:        m.GetService(),
		Customer:       m.GetCustomer(),
		Rank:           int(m.GetRank()),
		Route:          m.GetRoute(),
		RouteRank:      int(m.GetRouteRank()),
		Content:        m.GetContent(),
		Prompt:         int(m.GetPrompt()),
		Output:         int(m.GetOutput()),
		Target:         microseconds(m.GetTargetUs()),
		Gap:            microseconds(m.GetGapUs()),
		Deadline:       microseconds(m.GetDeadlineUs()),
		Exclude:        m.GetExclude(),
		Retry:          m.GetAgain(),
		Counted:        m.GetCounted(),
		Returning:      m.GetReturning(),
		Elapsed:        microseconds(m.GetSpentUs()),
		Avoid:          m.GetAvoid(),
		DrainedDomains: m.GetEmptied(),
		Replaces: ReplacedAttempt{
			ID:        m.GetReplaces().GetAttempt(),
			SilentFor: microseconds(m.GetReplaces().GetForUs()),
			Patience:  microseconds(m.GetReplaces().GetPatienceUs()),
		},
		Resumed: m.GetResumed(),
		DueIn:   microseconds(m.GetDueUs()),
	}
	for _, r := range m.GetBackoffs() {
		a.Backoffs = append(a.Backoffs, Backoff{
			Instance: r.GetInstance(),
			Duration: microseconds(r.GetForUs()),
		})
	}
	return a
}

// deciderMessage returns the message that names the instance which decides on the requests to a
// service.
func deciderMessage(service, instance string) *poolpb.FromEntry {
	return &poolpb.FromEntry{
		Kind: &poolpb.FromEntry_Decider{
			Decider: &poolpb.Decider{
				Service:  service,
				Instance: instance,
			},
		},
	}
}

// microseconds converts a number of microseconds, as sent in messages, to a duration.
func microseconds(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}

// encodeStartTime converts a start time of an endpoint to Unix milliseconds; the zero time is sent
// as 0.
func encodeStartTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// decodeStartTime is the inverse of encodeStartTime.
func decodeStartTime(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// encodeGrant converts the grant of an attempt to its message. PrefillShare.Reservation is left
// out, as only the entry instance sets it.
func encodeGrant(id string, g *Grant) *poolpb.Grant {
	m := &poolpb.Grant{
		Id:       id,
		Instance: g.Instance,
		Address:  g.Address,
		FirstUs:  g.FirstEventIn.Microseconds(),
		WaitedUs: g.Waited.Microseconds(),
		By:       g.DecidedBy,
		BornMs:   encodeStartTime(g.StartedAt),
	}
	for _, r := range g.Shares {
		m.Readers = append(m.Readers, &poolpb.Reader{
			Instance: r.Instance,
			Address:  r.Address,
			Reserved: int32(r.Reserved),
		})
	}
	return m
}

// decodeGrant converts a message to a grant.
func decodeGrant(m *poolpb.Grant) Grant {
	g := Grant{
		Instance:     m.GetInstance(),
		Address:      m.GetAddress(),
		FirstEventIn: microseconds(m.GetFirstUs()),
		Waited:       microseconds(m.GetWaitedUs()),
		DecidedBy:    m.GetBy(),
		StartedAt:    decodeStartTime(m.GetBornMs()),
	}
	for _, r := range m.GetReaders() {
		g.Shares = append(g.Shares, PrefillShare{
			Instance: r.GetInstance(),
			Address:  r.GetAddress(),
			Reserved: int(r.GetReserved()),
		})
	}
	return g
}

// runningMessage returns the report of a running attempt, for an owner that may not know it.
func runningMessage(r *running) *poolpb.FromEntry {
	return &poolpb.FromEntry{
		Kind: &poolpb.FromEntry_Running{
			Running: &poolpb.Running{
				Ask:   encodePlacementRequest(&r.request),
				Grant: encodeGrant(r.request.ID, &r.grant),
				Begun: r.begun,
			},
		},
	}
}

// firstEventMessage returns the report of an attempt's first event, for an owner.
func firstEventMessage(id, service string) *poolpb.FromEntry {
	return &poolpb.FromEntry{
		Kind: &poolpb.FromEntry_First{
			First: &poolpb.First{
				Id:      id,
				Service: service,
			},
		},
	}
}

// endMessage returns the report of an attempt's end, for an owner.
func endMessage(id, service string, o Outcome, culprit string) *poolpb.FromEntry {
	return &poolpb.FromEntry{
		Kind: &poolpb.FromEntry_End{
			End: &poolpb.End{
				Id:      id,
				Service: service,
				Outcome: int32(o),
				Culprit: culprit,
			},
		},
	}
}

// suspicionMessage returns the report of a silent attempt, for an owner.
func suspicionMessage(id, service string, silence time.Duration) *poolpb.FromEntry {
	return &poolpb.FromEntry{
		Kind: &poolpb.FromEntry_Suspicion{
			Suspicion: &poolpb.Suspicion{
				Id:        id,
				Service:   service,
				SilenceUs: silence.Microseconds(),
			},
		},
	}
}

// migrationMessage returns the order to migrate an attempt, for its entry instance.
func migrationMessage(m *migration) *poolpb.FromOwner {
	return &poolpb.FromOwner{
		Kind: &poolpb.FromOwner_Move{
			Move: &poolpb.Move{
				Id:       m.id,
				Endpoint: m.endpoint,
			},
		},
	}
}

// encodeNotice converts a notice to its message.
func encodeNotice(n notice.Notice) *poolpb.Notice {
	return &poolpb.Notice{
		Instance: n.Instance,
		BornMs:   encodeStartTime(n.StartedAt),
		Limited:  n.Limited,
		Rate:     n.Rate,
		Leaving:  n.Leaving,
		Revision: n.Revision,
	}
}

// decodeNotice converts a message to a notice.
func decodeNotice(m *poolpb.Notice) notice.Notice {
	return notice.Notice{
		Instance:  m.GetInstance(),
		StartedAt: decodeStartTime(m.GetBornMs()),
		Limited:   m.GetLimited(),
		Rate:      m.GetRate(),
		Leaving:   m.GetLeaving(),
		Revision:  m.GetRevision(),
	}
}

// ownerNoticeMessage returns the message with the notice of an endpoint, for an owner.
func ownerNoticeMessage(n notice.Notice) *poolpb.FromEntry {
	return &poolpb.FromEntry{
		Kind: &poolpb.FromEntry_Notice{
			Notice: encodeNotice(n),
		},
	}
}

// entryNoticeMessage returns the message with the notice of an endpoint, for an entry instance.
func entryNoticeMessage(n notice.Notice) *poolpb.FromOwner {
	return &poolpb.FromOwner{
		Kind: &poolpb.FromOwner_Notice{
			Notice: encodeNotice(n),
		},
	}
}

// crashMessage returns the report of a crash, for an owner.
func crashMessage(c quarantine.Crash, now time.Time) *poolpb.FromEntry {
	return &poolpb.FromEntry{
		Kind: &poolpb.FromEntry_Crashed{
			Crashed: quarantine.EncodeCrash(c, now),
		},
	}
}

// ownerVerdictMessage returns the message with a verdict on a request, for an owner.
func ownerVerdictMessage(v quarantine.Verdict) *poolpb.FromEntry {
	return &poolpb.FromEntry{
		Kind: &poolpb.FromEntry_Verdict{
			Verdict: quarantine.EncodeVerdict(v, steady.Now()),
		},
	}
}

// entryVerdictMessage returns the message with a verdict on a request, for an entry instance.
func entryVerdictMessage(v quarantine.Verdict) *poolpb.FromOwner {
	return &poolpb.FromOwner{
		Kind: &poolpb.FromOwner_Verdict{
			Verdict: quarantine.EncodeVerdict(v, steady.Now()),
		},
	}
}

// greetingEnd is the number of the ping that follows an entry instance's greeting: all its running
// attempts have been reported by then.
const greetingEnd = 0

// pingMessage returns a ping with the given number, which the owner answers with a pong.
func pingMessage(seq int64) *poolpb.FromEntry {
	return &poolpb.FromEntry{
		Kind: &poolpb.FromEntry_Ping{
			Ping: &poolpb.Ping{
				Seq: seq,
			},
		},
	}
}
