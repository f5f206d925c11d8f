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

// heldLease is a lease with what it is for.
type heldLease struct {
	owner.Grant
	attempt  string
	endpoint string
	leaser   owner.Leaser
	// startBy is when the lease lapses unless it was used.
	startBy time.Time
}

// leaseSearch is the state of looking for a lease for one request.
type leaseSearch struct {
	job     *job
	exclude []string
	// leases counts the leases that were asked for.
	leases int
	// impatient counts the refusals for lack of patience.
	impatient int
	// restarted is true once the refusals were forgotten.
	restarted bool
	// pastDeadline counts the refusals for the deadline.
	pastDeadline int
	// last is the refusal to tell the caller in the end.
	last *owner.Refusal
	// minRetryAfter is the least time after which coming back makes sense.
	minRetryAfter time.Duration
}

// maxPastDeadline is how many endpoints are asked that can't meet the deadline. The
// first is the one with the least estimate, so the others hardly can.
const maxPastDeadline = 2

// maxImpatient is how often a request goes elsewhere rather than wait.
const maxImpatient = 2

// patienceSlack is how much more than at the next best candidate a request
// waits before it goes there.
const patienceSlack = 30 * time.Millisecond

// defaultRetryAfter is when to come back when nothing better is known.
const defaultRetryAfter = time.Second

// lease finds an endpoint for one part of a request and gets a lease on it.
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

// checkExpired returns the final answer to a request whose time is over or whose
// caller has gone.
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

// statusClosed is the status that is noted when the caller has gone.
const statusClosed = 499

// runState states what is known of a request that has no answer.
func (j *job) runState() problem.Ran {
	if j.dispatches > 0 {
		return problem.MayHaveRun
	}
	return problem.NotRun
}

// leaseOnce chooses an endpoint and asks its owner. It returns no lease and
// true when another try makes sense.
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
		// The endpoint came with a configuration that is newer than the
		// request.
		s.exclude = append(s.exclude, c.endpoint)
		return nil, true
	}
	by, ok := e.parts.Members().RegionalOwner(c.endpoint, j.view.Region(endpoint.FailureDomain))
	if !ok {
		return nil, false
	}
	e.logDecision(j, attempt, by.ID, c)
	leaser, err := e.parts.Leaser(by)
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
	return nil, e.handleRefusal(ctx, s, c.endpoint, by.ID, attempt, err)
}

// restart forgets once which endpoints refused, after a pause, when there is
// none left to ask.
func (s *leaseSearch) restart(ctx context.Context) bool {
	if len(s.exclude) == 0 || s.restarted || s.pastDeadline > 0 {
		return false
	}
	s.restarted = true
	s.exclude = nil
	backOff(ctx, s.leases)
	return true
}

// patience returns how long a request waits at its choice: not much longer
// than it expects to elsewhere.
func patience(d policy.Decision) time.Duration {
	if d.Alternative > time.Hour {
		return 0
	}
	return max(d.Alternative, 2*d.Estimate) + patienceSlack
}

// logDecision writes the line of a routing decision.
func (e *Entry) logDecision(j *job, attempt, by string, c choice) {
	e.parts.Log.Info("route", "request", j.id, "attempt", attempt, "customer", j.customer.ID, "tier", j.tier.ID,
		"class", className(j), "model", j.group(), "prompt_tokens", j.promptTokens, "endpoint", c.endpoint, "owner", by,
		"estimate_ms", c.Estimate.Milliseconds(), "candidates", c.estimates, "usable", c.usable, "reason", string(c.Reason))
	e.traces.add(j.id, Event{
		What:       "route",
		Attempt:    attempt,
		Endpoint:   c.endpoint,
		Owner:      by,
		Reason:     string(c.Reason),
		Candidates: c.estimates,
	})
}

// handleRefusal takes over a refusal. It states whether another try makes sense.
func (e *Entry) handleRefusal(ctx context.Context, s *leaseSearch, endpoint, by, attempt string, err error) bool {
	var r *owner.Refusal
	if !errors.As(err, &r) {
		return ctx.Err() == nil
	}
	e.parts.Log.Info("lease refused", "request", s.job.id, "attempt", attempt, "endpoint", endpoint, "owner", by,
		"code", string(r.Code), "detail", r.Detail)
	e.traces.add(s.job.id, Event{
		What:     "lease refused",
		Attempt:  attempt,
		Endpoint: endpoint,
		Owner:    by,
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
		e.parts.ReportFailure(by)
	case owner.RefusedNotOwner, owner.RefusedStopping:
		// The views of who owns what differ for a moment.
		backOff(ctx, s.leases)
		return true
	}
	s.exclude = append(s.exclude, endpoint)
	return true
}

// recordRefusal keeps the refusal that tells the caller most.
func (s *leaseSearch) recordRefusal(r *owner.Refusal) {
	if s.last == nil || r.Code == owner.RefusedDeadline {
		s.last = r
	}
	if r.RetryAfter > 0 && (s.minRetryAfter == 0 || r.RetryAfter < s.minRetryAfter) {
		s.minRetryAfter = r.RetryAfter
	}
}

// refusal returns the final answer to a request that found no lease.
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

// backOff waits before another try, longer each time and spread out.
func backOff(ctx context.Context, n int) {
	d := min(minBackOff<<min(n, 10), maxBackOff)
	select {
	case <-time.After(d/2 + rand.N(d)):
	case <-ctx.Done():
	}
}

// release tells the owner of a lease what became of it, and holds the attempt
// no longer.
func (e *Entry) release(h *heldLease, o owner.Outcome, step time.Duration) {
	e.Registry.remove(h.attempt)
	e.runInBackground(func(ctx context.Context) {
		// An owner that does not hear of it asks.
		_ = h.leaser.Release(ctx, owner.Release{
			Attempt:  h.attempt,
			Endpoint: h.endpoint,
			Outcome:  o,
			Step:     step,
		})
	})
}

// cancel ends an attempt at its engine. When that can't be had, the owner of
// the endpoint does it: nobody holds the attempt any more.
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
		// An owner that does not hear of it asks.
		_ = h.leaser.Release(ctx, owner.Release{
			Attempt:  h.attempt,
			Endpoint: h.endpoint,
			Outcome:  o,
		})
	})
}

// maxCancelAttempts is how often an entry tries to cancel an attempt itself.
const maxCancelAttempts = 3
