// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package entry

import (
	"net/http"
	"time"

	"github.com/linkmast/linkmast/problem"
	"github.com/linkmast/linkmast/quarantine"
)

// setHistory notes what a request is setHistory by, whatever its try is named and wherever it comes.
func (j *job) setHistory(r *http.Request, body []byte) {
	j.history = quarantine.RequestHistory{
		Identity: quarantine.Identify(r.RequestURI, j.customer.ID, body),
		Request:  j.id,
	}
}

// enterQuarantine gives a request leave to run, or refuses it.
func (e *Entry) enterQuarantine(j *job) (release func(), fail *problem.Error) {
	if e.parts.Quarantine == nil {
		return func() {}, nil
	}
	p, after, ok := e.parts.Quarantine.Admit(j.history.Identity)
	if !ok {
		return nil, e.banProblem(j, after)
	}
	j.singleAttempt = p.SingleEndpoint
	return p.Release, nil
}

// checkBan returns the final answer to a request that was banned meanwhile, or nil. It guards
// against the rest of its attempts: those that wait for a lease, and those that follow one that
// broke off.
func (e *Entry) checkBan(j *job) *problem.Error {
	if e.parts.Quarantine == nil {
		return nil
	}
	after, banned := e.parts.Quarantine.BanRemaining(j.history.Identity)
	if !banned {
		return nil
	}
	return e.banProblem(j, after)
}

// banProblem returns the refusal of a request that banProblem endpoints.
func (e *Entry) banProblem(j *job, after time.Duration) *problem.Error {
	e.metrics.add("refused_quarantine", 1)
	p := problem.Busy(problem.CodeCrashes, quarantine.BannedDetail, after)
	p.Ran = j.runState()
	return p
}

// reportBroken has the endpoints of an attempt looked at that reportBroken off, or whose endpoint is silent.
func (e *Entry) reportBroken(j *job, began time.Time, leases ...*heldLease) {
	if e.parts.Quarantine == nil {
		return
	}
	var addresses []string
	for _, h := range leases {
		addresses = append(addresses, h.Address)
	}
	e.detector.AttemptFailed(&j.history, quarantine.FailedAttempt{
		Attempt:   leases[0].attempt,
		StartedAt: began,
		Endpoints: addresses,
		Suspects:  addresses,
	})
}

// reportServed notes a whole answer.
func (e *Entry) reportServed(j *job) {
	if e.parts.Quarantine != nil {
		e.parts.Quarantine.ReportAnswered(j.history.Identity)
	}
}

// mayRetry states whether a request may be sent to another endpoint after one that may have run
// it.
func (j *job) mayRetry() bool {
	return !j.once && !j.singleAttempt && j.dispatches < maxDispatches
}
