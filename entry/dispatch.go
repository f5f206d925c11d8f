// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/owner"
	"github.com/linkmast/linkmast/policy"
	"github.com/linkmast/linkmast/problem"
)

// heldLease is a lease together with the attempt and endpoint that it is for.
type heldLease struct {
	owner.Grant
	attempt  string
	endpoint string
	leaser   owner.Leaser
	// startBy is when the lease expires if the attempt has not been dispatched.
	startBy time.Time
}

// leaseSearch holds the state of the search for leases for one request.
type leaseSearch struct {
	job *job
	// exclude lists the ids of the endpoints that must not be chosen for this request.
	exclude []string
	// leases counts the tries to get a lease. It numbers the attempts.
	leases int
	// impatient counts the refusals because the wait would exceed the request's patience.
	impatient int
	// restarted states that restart has cleared exclude.
	restarted bool
	// pastDeadline counts the refusals because the deadline can't be met.
	pastDeadline int
	// last is the refusal that determines the final answer; nil before the first.
	last *owner.Refusal
	// minRetryAfter is the shortest non-zero RetryAfter of all refusals; zero without one.
	minRetryAfter time.Duration
}

// maxPastDeadline is the number of refusals with RefusedDeadline after which the search ends. The
// first endpoint has the lowest estimate, so further ones are unlikely to meet the deadline.
const maxPastDeadline = 2

// maxImpatient is the number of refusals with RefusedPatience after which a request accepts any
// wait.
const maxImpatient = 2

// patienceSlack is added to the estimates in patience, so that small errors do not send a
// request elsewhere.
const patienceSlack = 30 * time.Millisecond

// defaultRetryAfter is sent to the caller if no refusal names a time.
const defaultRetryAfter = time.Second

// lease chooses an endpoint for a request that is not split into shares, and acquires a lease
// on it.
func (e *Entry) lease(ctx context.Context, s *leaseSearch, w policy.Work) (*heldLease, *problem.Error) {
	for {
		if err := e.checkExpired(ctx, s.job); err != nil {
			return nil, err
		}
		if s.leases >= maxLeases {
			return nil, s.refusal()
		}
		h, again := e.leaseOnce(ctx, s, w)
		if h != nil {
			return h, nil
		}
		if again {
			continue
		}
		if err := e.checkExpired(ctx, s.job); err != nil {
			return nil, err
		}
		return nil, s.refusal()
	}
}

// checkExpired returns the final answer to a request whose deadline has passed or whose caller
// has disconnected, else nil.
func (e *Entry) checkExpired(ctx context.Context, j *job) *problem.Error {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		p := problem.New(problem.CodeCancelled, statusClosed, "the caller has gone")
		p.Ran = j.runState()
		return p
	case ctx.Err() != nil || !steady.Now().Before(j.deadline):
		p := problem.New(problem.CodeDeadlinePassed, http.StatusGatewayTimeout, "the deadline has passed")
		p.Ran = j.runState()
		p.RetryAfter = defaultRetryAfter
		return p
	}
	return nil
}

// statusClosed is the status that is recorded if the caller has disconnected.
const statusClosed = 499

// runState reports whether an endpoint may have run a request that has no answer.
func (j *job) runState() problem.Ran {
	if j.dispatches > 0 {
		return problem.MayHaveRun
	}
	return problem.NotRun
}

// leaseOnce chooses an endpoint and requests a lease from its owner. Without a lease it returns
// whether another try is worthwhile.
func (e *Entry) leaseOnce(ctx context.Context, s *leaseSearch, w policy.Work) (*heldLease, bool) {
	j := s.job
	c := e.fleet.choose(j.group(), &w, j.hitRate, s.exclude, steady.Now())
	if c.Index < 0 {
		return nil, s.restart(ctx)
	}
	s.leases++
	attempt := attemptID(j.id, s.leases)
	endpoint, ok := j.view.Endpoint(c.endpoint)
	if !ok {
		// The choice is based on a newer configuration than the request's.
		s.exclude = append(s.exclude, c.endpoint)
		return nil, true
	}
	ownerInstance, ok := e.parts.Members().RegionalOwner(c.endpoint, j.view.Region(endpoint.FailureDomain))
	if !ok {
		return nil, false
	}
	e.logDecision(j, attempt, ownerInstance.ID, c)
	leaser, err := e.parts.Leaser(ownerInstance)
	if err != nil {
		s.exclude = append(s.exclude, c.endpoint)
		return nil, true
	}
	r := owner.Request{
		Attempt:  attempt,
		Holder:   e.settings.Self.ID,
		Endpoint: c.endpoint,
		Work:     w,
	}
	if s.impatient < maxImpatient && c.usable > 1 {
		r.Patience = patience(c.Decision)
	}
	e.Registry.add(attempt)
	g, err := leaser.Acquire(ctx, r, nil)
	if err == nil {
		return &heldLease{
			Grant:    g,
			attempt:  attempt,
			endpoint: c.endpoint,
			leaser:   leaser,
			startBy:  steady.Now().Add(g.StartWithin),
		}, false
	}
	e.Registry.remove(attempt)
	return nil, e.handleRefusal(ctx, s, c.endpoint, ownerInstance.ID, attempt, err)
}

// restart is called when no endpoint is left. Once per search it clears exclude, backs off and
// returns true, unless nothing was excluded or a lease was refused because of the deadline.
// Otherwise it returns false.
func (s *leaseSearch) restart(ctx context.Context) bool {
	if len(s.exclude) == 0 || s.restarted || s.pastDeadline > 0 {
		return false
	}
	s.restarted = true
	s.exclude = nil
	backOff(ctx, s.leases)
	return true
}

// patience returns the longest wait at the chosen endpoint for which its owner should grant the
// lease: the estimate of the next best endpoint, or twice the estimate of the chosen one if that
// is longer, plus patienceSlack. Without another endpoint it returns zero, which means no limit.
func patience(d policy.Decision) time.Duration {
	if d.Alternative > time.Hour {
		return 0
	}
	return max(d.Alternative, 2*d.Estimate) + patienceSlack
}

// logDecision logs and traces the choice of an endpoint.
func (e *Entry) logDecision(j *job, attempt, ownerID string, c choice) {
	e.parts.Log.Info("route", "request", j.id, "attempt", attempt, "customer", j.customer.ID, "tier", j.tier.ID,
		"class", className(j), "model", j.group(), "prompt_tokens", j.promptTokens, "endpoint", c.endpoint, "owner", ownerID,
		"estimate_ms", c.Estimate.Milliseconds(), "candidates", c.estimates, "usable", c.usable, "reason", string(c.Reason))
	e.traces.add(j.id, Event{
		What:       "route",
		Attempt:    attempt,
		Endpoint:   c.endpoint,
		Owner:      ownerID,
		Reason:     string(c.Reason),
		Candidates: c.estimates,
	})
}

// handleRefusal handles the error of a request for a lease, and reports whether another try is
// worthwhile. It logs and records err only if it is an owner's refusal; after any other error
// another try is worthwhile unless ctx has ended.
func (e *Entry) handleRefusal(ctx context.Context, s *leaseSearch, endpoint, ownerID, attempt string, err error) bool {
	var r *owner.Refusal
	if !errors.As(err, &r) {
		return ctx.Err() == nil
	}
	e.parts.Log.Info("lease refused", "request", s.job.id, "attempt", attempt, "endpoint", endpoint, "owner", ownerID,
		"code", string(r.Code), "detail", r.Detail)
	e.traces.add(s.job.id, Event{
		What:     "lease refused",
		Attempt:  attempt,
		Endpoint: endpoint,
		Owner:    ownerID,
		Reason:   string(r.Code) + ": " + r.Detail,
	})
	s.recordRefusal(r)
	switch r.Code {
	case owner.RefusedPatience:
		s.impatient++
		return true
	case owner.RefusedDeadline:
		s.pastDeadline++
		s.exclude = append(s.exclude, endpoint)
		return s.pastDeadline < maxPastDeadline
	case owner.RefusedSilent:
		e.parts.ReportFailure(ownerID)
	case owner.RefusedNotOwner, owner.RefusedStopping:
		// The instances' views of the owners differ for a moment.
		backOff(ctx, s.leases)
		return true
	}
	s.exclude = append(s.exclude, endpoint)
	return true
}

// recordRefusal updates the refusal and the retry time for the final answer. A refusal because
// of the deadline takes precedence.
func (s *leaseSearch) recordRefusal(r *owner.Refusal) {
	if s.last == nil || r.Code == owner.RefusedDeadline {
		s.last = r
	}
	if r.RetryAfter > 0 && (s.minRetryAfter == 0 || r.RetryAfter < s.minRetryAfter) {
		s.minRetryAfter = r.RetryAfter
	}
}

// refusal returns the final answer to a request that got no lease.
func (s *leaseSearch) refusal() *problem.Error {
	after := s.minRetryAfter
	if after == 0 {
		after = defaultRetryAfter
	}
	p := problem.Busy(problem.CodeNoEndpoint, "no endpoint can take the request now", after)
	if s.last != nil && s.last.Code == owner.RefusedDeadline {
		p = problem.Busy(problem.CodeDeadline, "no endpoint can finish the request by its deadline", after)
	}
	p.Ran = s.job.runState()
	return p
}

// backOff sleeps before another try. The time doubles with n up to a limit and is randomized.
func backOff(ctx context.Context, n int) {
	d := min(minBackOff<<min(n, 10), maxBackOff)
	select {
	case <-time.After(d/2 + rand.N(d)):
	case <-ctx.Done():
	}
}

// release removes the attempt from the registry and reports its outcome to the owner that
// granted the lease, in the background. Step is the mean time between tokens; zero if unknown.
func (e *Entry) release(h *heldLease, o owner.Outcome, step time.Duration) {
	e.Registry.remove(h.attempt)
	e.runInBackground(func(ctx context.Context) {
		// If the report is lost, the owner asks this instance.
		_ = h.leaser.Release(ctx, owner.Release{
			Attempt:  h.attempt,
			Endpoint: h.endpoint,
			Outcome:  o,
			Step:     step,
		})
	})
}

// cancel cancels an attempt at its engine and releases its lease in the background. If the
// engine can't be reached, the owner cancels the attempt, because no instance holds it any
// more.
func (e *Entry) cancel(h *heldLease, o owner.Outcome) {
	e.Registry.remove(h.attempt)
	e.runInBackground(func(ctx context.Context) {
		client := e.parts.Endpoints.Engine(h.Address)
		for try := range maxCancelAttempts {
			if err := client.Cancel(ctx, h.attempt); err == nil {
				break
			}
			backOff(ctx, try)
		}
		// If the report is lost, the owner asks this instance.
		_ = h.leaser.Release(ctx, owner.Release{
			Attempt:  h.attempt,
			Endpoint: h.endpoint,
			Outcome:  o,
		})
	})
}

// maxCancelAttempts is the number of tries to cancel an attempt at its engine.
const maxCancelAttempts = 3
