// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package entry

import (
	"net/http"
	"time"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/problem"
	"github.com/linkmast/linkmast/quarantine"
)

// setHistory sets the identity of the request, which is the same for all its tries at any
// instance.
func (j *job) setHistory(r *http.Request, body []byte) {
	j.history = quarantine.RequestHistory{
		Identity: quarantine.Identify(r.RequestURI, j.customer.ID, body),
		Request:  j.id,
	}
}

// enterQuarantine admits a request to run, or refuses it while its identity is banned or being
// retested. The caller calls release when the request has ended.
func (e *Entry) enterQuarantine(j *job) (release func(), fail *problem.Error) {
	if e.parts.Quarantine == nil {
		return func() {}, nil
	}
	p, ban := e.parts.Quarantine.Admit(j.history.Keys())
	if ban != nil {
		return nil, e.banProblem(j, ban)
	}
	j.singleEndpoint = p.SingleEndpoint
	return p.Release, nil
}

// checkBan returns the final answer to a request whose identity was banned after its admission,
// or nil. It is called after each lease is acquired and before the request is dispatched.
func (e *Entry) checkBan(j *job) *problem.Error {
	if e.parts.Quarantine == nil {
		return nil
	}
	ban := e.parts.Quarantine.BanOf(j.history.Keys())
	if ban == nil {
		return nil
	}
	return e.banProblem(j, ban)
}

// banProblem returns the refusal of a request that is banned because it crashes endpoints.
func (e *Entry) banProblem(j *job, b *quarantine.Ban) *problem.Error {
	e.metrics.add("refused_quarantine", 1)
	p := problem.Busy(problem.CodeCrashes, b.Detail(), b.Remaining)
	p.Ran = j.runState()
	return p
}

// reportFailedAttempt has the crash detector check the endpoints of a failed attempt.
func (e *Entry) reportFailedAttempt(j *job, startedAt time.Time, leases ...*heldLease) {
	if e.parts.Quarantine == nil {
		return
	}
	var addresses []string
	for _, h := range leases {
		addresses = append(addresses, h.Address)
	}
	e.detector.AttemptFailed(&j.history, quarantine.FailedAttempt{
		Attempt:   leases[0].attempt,
		StartedAt: startedAt,
		Endpoints: addresses,
		Suspects:  addresses,
	})
}

// reportServed reports a complete answer to the quarantine.
func (e *Entry) reportServed(j *job) {
	if e.parts.Quarantine != nil {
		e.parts.Quarantine.ReportAnswered(j.history.Keys(), steady.Now())
	}
}

// mayRetry reports whether a request may be sent to another endpoint after one that may have
// run it.
func (j *job) mayRetry() bool {
	return !j.once && !j.singleEndpoint && j.dispatches < maxDispatches
}
