// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"time"

	"github.com/linkmast/linkmast/notice"
	"github.com/linkmast/linkmast/pool/poolpb"
	"github.com/linkmast/linkmast/quarantine"
)

// encodePlacementRequest returns the message of an ask. Durations are sent in microseconds.
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

// decodePlacementRequest returns the ask of a message.
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

// microseconds returns a duration that was sent as a number.
func microseconds(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}

// encodeStartTime returns the start of an endpoint's life as a Unix time in ms; zero when it
// does not say.
func encodeStartTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// decodeStartTime returns the start of an endpoint's life that was sent as a number.
func decodeStartTime(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// encodeGrant returns the message of an attempt's grant. Reservations are not in it,
// as the entry makes them.
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

// decodeGrant returns the grant of a message.
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

// runningMessage tells an owner of an attempt that another one placed.
func runningMessage(r *running) *poolpb.FromEntry {
	return &poolpb.FromEntry{
		Kind: &poolpb.FromEntry_Running{
			Running: &poolpb.Running{
				Ask:   encodePlacementRequest(&r.ask),
				Grant: encodeGrant(r.ask.ID, &r.grant),
				Begun: r.begun,
			},
		},
	}
}

// firstMessage tells an owner of the first event of an attempt.
func firstMessage(id, service string) *poolpb.FromEntry {
	return &poolpb.FromEntry{
		Kind: &poolpb.FromEntry_First{
			First: &poolpb.First{
				Id:      id,
				Service: service,
			},
		},
	}
}

// endMessage tells an owner how an attempt ended.
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

// suspicionMessage tells an owner of an attempt that is silent.
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

// migrationMessage tells an entry that an attempt is to move.
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

// encodeNotice returns the message of a notice.
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

// decodeNotice returns the notice of a message.
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

// ownerNoticeMessage tells an owner what an endpoint says of itself.
func ownerNoticeMessage(n notice.Notice) *poolpb.FromEntry {
	return &poolpb.FromEntry{
		Kind: &poolpb.FromEntry_Notice{
			Notice: encodeNotice(n),
		},
	}
}

// entryNoticeMessage tells an entry what an endpoint says of itself.
func entryNoticeMessage(n notice.Notice) *poolpb.FromOwner {
	return &poolpb.FromOwner{
		Kind: &poolpb.FromOwner_Notice{
			Notice: encodeNotice(n),
		},
	}
}

// crashMessage tells an owner of a crash.
func crashMessage(c quarantine.Crash, now time.Time) *poolpb.FromEntry {
	return &poolpb.FromEntry{
		Kind: &poolpb.FromEntry_Crashed{
			Crashed: quarantine.EncodeCrash(c, now),
		},
	}
}

// ownerVerdictMessage and verdictToEntry tell the other end of a session of a verdict.
func ownerVerdictMessage(v quarantine.Verdict) *poolpb.FromEntry {
	return &poolpb.FromEntry{
		Kind: &poolpb.FromEntry_Verdict{
			Verdict: quarantine.EncodeVerdict(v),
		},
	}
}

func entryVerdictMessage(v quarantine.Verdict) *poolpb.FromOwner {
	return &poolpb.FromOwner{
		Kind: &poolpb.FromOwner_Verdict{
			Verdict: quarantine.EncodeVerdict(v),
		},
	}
}

// greetingEnd is the number of the ping that ends an entry's greeting: by then it has told
// all that it has running.
const greetingEnd = 0

// pingMessage asks an owner for a sign of life.
func pingMessage(seq int64) *poolpb.FromEntry {
	return &poolpb.FromEntry{
		Kind: &poolpb.FromEntry_Ping{
			Ping: &poolpb.Ping{
				Seq: seq,
			},
		},
	}
}
