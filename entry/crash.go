// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package entry

import (
	"net/http"
	"time"

	"github.com/linkmast/linkmast/problem"
	"github.com/linkmast/linkmast/quarantine"
)

// known notes what a request is known by, whatever its try is named and wherever it comes.
func (j *job) known(r *http.Request, body []byte) {
	j.history = quarantine.RequestHistory{
		Identity: quarantine.Identify(r.RequestURI, j.customer.ID, body),
		Request:  j.id,
	}
}

// enter gives a request leave to run, or refuses it.
func (e *Entry) enter(j *job) (leave func(), fail *problem.Error) {
	if e.parts.Quarantine == nil {
		return func() {}, nil
	}
	p, after, ok := e.parts.Quarantine.Admit(j.history.Identity)
	if !ok {
		return nil, e.crashes(j, after)
	}
	j.single = p.SingleEndpoint
	return p.Release, nil
}

// barred returns the final answer to a request that was banned meanwhile, or nil. It guards
// against the rest of its attempts: those that wait for a lease, and those that follow one that
// broke off.
func (e *Entry) barred(j *job) *problem.Error {
	if e.parts.Quarantine == nil {
		return nil
	}
	after, banned := e.parts.Quarantine.BanRemaining(j.history.Identity)
	if !banned {
		return nil
	}
	return e.crashes(j, after)
}

// crashes returns the refusal of a request that crashes endpoints.
func (e *Entry) crashes(j *job, after time.Duration) *problem.Error {
	e.metrics.add("refused_quarantine", 1)
	p := problem.Busy(problem.CodeCrashes, quarantine.BannedDetail, after)
	p.Ran = j.ran()
	return p
}

// broke has the endpoints of an attempt looked at that broke off, or whose endpoint is silent.
func (e *Entry) broke(j *job, began time.Time, leases ...*held) {
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

// served notes a whole answer.
func (e *Entry) served(j *job) {
	if e.parts.Quarantine != nil {
		e.parts.Quarantine.ReportAnswered(j.history.Identity)
	}
}

// repeats states whether a request may be sent to another endpoint after one that may have run
// it.
func (j *job) repeats() bool {
	return !j.once && !j.single && j.dispatches < maxDispatches
}
