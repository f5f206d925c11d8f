// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"time"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/quarantine"
)

// metReader is how much later than its request the answer comes that blames an endpoint
// which helped to read: one that had ended before is blamed within a round trip.
const metReader = 300 * time.Millisecond

// enter gives a request leave to run, or refuses it. It has not run under its present name,
// and says so.
func (l *Relay) enter(j *job) (leave func(), ref *refusal) {
	if l.parts.Quarantine == nil {
		return func() {}, nil
	}
	p, after, ok := l.parts.Quarantine.Enter(j.history.Identity)
	if !ok {
		l.Metrics.add("refused_quarantine")
		return nil, unavailable(quarantine.Refused, after)
	}
	j.once = p.Once
	return p.Leave, nil
}

// banned returns the final answer to a request that was banned meanwhile, or nil. It guards
// against the rest of its attempts: those that wait for a place, and those that follow one
// that broke off.
func (l *Relay) banned(j *job) *refusal {
	if l.parts.Quarantine == nil {
		return nil
	}
	after, banned := l.parts.Quarantine.Barred(j.history.Identity)
	if !banned {
		return nil
	}
	return j.giveUp(quarantine.Refused, after)
}

// judge reports what an attempt shows of its request: a whole answer, or that its endpoint,
// or one that read for it, has ended.
func (l *Relay) judge(t *try, res result) {
	if l.parts.Quarantine == nil {
		return
	}
	if res.final && res.outcome == pool.Served {
		l.parts.Quarantine.Served(t.job.history.Identity)
		return
	}
	suspects := t.suspects(res)
	if len(suspects) == 0 {
		return
	}
	l.detector.Broke(&t.job.history, quarantine.Broken{
		Attempt:  t.ask.ID,
		Began:    t.began,
		Worked:   t.addresses(),
		Suspects: suspects,
	})
}

// suspects returns the addresses of the endpoints that may have ended under an attempt.
func (t *try) suspects(res result) []string {
	switch {
	case res.cut || res.outcome == pool.Silent:
		return t.addresses()
	case res.outcome == pool.Rejected && res.culprit != "" && res.culprit != t.grant.Address && steady.Since(t.began) > metReader:
		return []string{res.culprit}
	}
	return nil
}

// addresses returns those of the endpoints that work on an attempt, its own first.
func (t *try) addresses() []string {
	out := []string{t.grant.Address}
	for _, r := range t.grant.Shares {
		out = append(out, r.Address)
	}
	return out
}
