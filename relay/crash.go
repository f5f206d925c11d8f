// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"time"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/quarantine"
)

// helperBlameDelay is the time from the start of an attempt after which a rejection that blames a
// helper makes that helper suspected of a crash. An earlier one is taken to mean that the helper was
// already down or could not help, and raises no suspicion.
const helperBlameDelay = 300 * time.Millisecond

// enterQuarantine admits a request to run, or refuses it while its identity or a part of its prompt is
// banned or being retested. The caller calls release when the request has ended.
func (l *Relay) enterQuarantine(j *job) (release func(), ref *refusal) {
	if l.parts.Quarantine == nil {
		return func() {}, nil
	}
	p, ban := l.parts.Quarantine.Admit(j.history.Keys())
	if ban != nil {
		l.Metrics.add("refused_quarantine")
		l.logBan(j, ban)
		return nil, serviceUnavailable(ban.Detail(), ban.Remaining)
	}
	j.singleEndpoint = p.SingleEndpoint
	return p.Release, nil
}

// checkBan returns the final answer to a request that was banned after its admission,
// or nil. The relay calls it before and after it waits for a placement.
func (l *Relay) checkBan(j *job) *refusal {
	if l.parts.Quarantine == nil {
		return nil
	}
	ban := l.parts.Quarantine.BanOf(j.history.Keys())
	if ban == nil {
		return nil
	}
	l.logBan(j, ban)
	return j.giveUp(ban.Detail(), ban.Remaining)
}

// logBan logs what a request is refused for.
func (l *Relay) logBan(j *job, b *quarantine.Ban) {
	l.parts.Log.Info("banned", "request", j.head.ID, "identity", b.Identity.String(), "part", b.Part,
		"for_ms", b.Remaining.Milliseconds(), "sends", j.sends)
}

// reportOutcome reports to the quarantine that an attempt was answered, or that an endpoint
// that worked on it may have crashed.
func (l *Relay) reportOutcome(t *attempt, res result) {
	if l.parts.Quarantine == nil {
		return
	}
	if res.answered && res.outcome == pool.Served {
		k := t.job.history.Keys()
		if t.progressed {
			k.Parts = nil
		}
		l.parts.Quarantine.ReportAnswered(k, t.startedAt)
		return
	}
	suspects := t.suspects(res)
	if len(suspects) == 0 {
		return
	}
	l.detector.AttemptFailed(&t.job.history, quarantine.FailedAttempt{
		Attempt:     t.request.ID,
		StartedAt:   t.startedAt,
		Endpoints:   t.addresses(),
		Incarnation: quarantine.IdentifyIncarnation(t.grant.Instance, t.grant.StartedAt),
		Suspects:    suspects,
	})
}

// reportProgress reports to the quarantine, once, that the endpoint has sent enough events of a stream.
func (t *attempt) reportProgress(events int) {
	if t.relay.parts.Quarantine == nil || t.progressed || events < quarantine.MinProgress {
		return
	}
	t.progressed = true
	t.relay.parts.Quarantine.ReportProgress(t.job.history.Parts, t.startedAt)
}

// suspects returns the addresses of the endpoints that may have crashed during an attempt.
func (t *attempt) suspects(res result) []string {
	switch {
	case res.connectionLost || res.outcome == pool.Silent:
		return t.addresses()
	case res.outcome == pool.Rejected && res.culprit != "" && res.culprit != t.grant.Address && steady.Since(t.startedAt) > helperBlameDelay:
		return []string{res.culprit}
	}
	return nil
}

// addresses returns the addresses of the endpoints that work on an attempt, the one of the
// grant first.
func (t *attempt) addresses() []string {
	out := []string{t.grant.Address}
	for _, r := range t.grant.Shares {
		out = append(out, r.Address)
	}
	return out
}
