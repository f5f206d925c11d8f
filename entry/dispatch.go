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

// held is a lease with what it is for.
type held struct {
	owner.Grant
	attempt  string
	endpoint string
	leaser   owner.Leaser
	// startBy is when the lease lapses unless it was used.
	startBy time.Time
}

// search is the state of looking for a lease for one request.
type search struct {
	job  *job
	skip []string
	// leases counts the leases that were asked for.
	leases int
	// impatient counts the refusals for lack of patience.
	impatient int
	// again is true once the refusals were forgotten.
	again bool
	// late counts the refusals for the deadline.
	late int
	// last is the refusal to tell the caller in the end.
	last *owner.Refusal
	// soonest is the least time after which coming back makes sense.
	soonest time.Duration
}

// maxLate is how many endpoints are asked that can't meet the deadline. The
// first is the one with the least estimate, so the others hardly can.
const maxLate = 2

// maxImpatient is how often a request goes elsewhere rather than wait.
const maxImpatient = 2

// patienceSlack is how much more than at the next best candidate a request
// waits before it goes there.
const patienceSlack = 30 * time.Millisecond

// defaultRetry is when to come back when nothing better is known.
const defaultRetry = time.Second

// lease finds an endpoint for one part of a request and gets a lease on it.
func (e *Entry) lease(ctx context.Context, s *search, w policy.Work) (*held, *problem.Error) {
	for {
		if err := e.expired(ctx, s.job); err != nil {
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
		if err := e.expired(ctx, s.job); err != nil {
			return nil, err
		}
		return nil, s.refusal()
	}
}

// expired returns the final answer to a request whose time is over or whose
// caller has gone.
func (e *Entry) expired(ctx context.Context, j *job) *problem.Error {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		p := problem.New(problem.CodeCancelled, statusClosed, "the caller has gone")
		p.Ran = j.ran()
		return p
	case ctx.Err() != nil || !steady.Now().Before(j.deadline):
		p := problem.New(problem.CodeDeadlinePassed, http.StatusGatewayTimeout, "the deadline has passed")
		p.Ran = j.ran()
		p.RetryAfter = defaultRetry
		return p
	}
	return nil
}

// statusClosed is the status that is noted when the caller has gone.
const statusClosed = 499

// ran states what is known of a request that has no answer.
func (j *job) ran() problem.Ran {
	if j.dispatches > 0 {
		return problem.MayHaveRun
	}
	return problem.NotRun
}

// leaseOnce chooses an endpoint and asks its owner. It returns no lease and
// true when another try makes sense.
func (e *Entry) leaseOnce(ctx context.Context, s *search, w policy.Work) (*held, bool) {
	j := s.job
	c := e.fleet.choose(j.group(), &w, j.hit, s.skip, steady.Now())
	if c.Index < 0 {
		return nil, s.startOver(ctx)
	}
	s.leases++
	attempt := attemptID(j.id, s.leases)
	endpoint, ok := j.view.Endpoint(c.endpoint)
	if !ok {
		// The endpoint came with a configuration that is newer than the
		// request.
		s.skip = append(s.skip, c.endpoint)
		return nil, true
	}
	by, ok := e.parts.Members().RegionalOwner(c.endpoint, j.view.Region(endpoint.FailureDomain))
	if !ok {
		return nil, false
	}
	e.decided(j, attempt, by.ID, c)
	leaser, err := e.parts.Leaser(by)
	if err != nil {
		s.skip = append(s.skip, c.endpoint)
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
	e.Registry.hold(attempt)
	g, err := leaser.Acquire(ctx, r, nil)
	if err == nil {
		return &held{
			Grant:    g,
			attempt:  attempt,
			endpoint: c.endpoint,
			leaser:   leaser,
			startBy:  steady.Now().Add(g.StartWithin),
		}, false
	}
	e.Registry.drop(attempt)
	return nil, e.refused(ctx, s, c.endpoint, by.ID, attempt, err)
}

// startOver forgets once which endpoints refused, after a pause, when there is
// none left to ask.
func (s *search) startOver(ctx context.Context) bool {
	if len(s.skip) == 0 || s.again || s.late > 0 {
		return false
	}
	s.again = true
	s.skip = nil
	pause(ctx, s.leases)
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

// decided writes the line of a routing decision.
func (e *Entry) decided(j *job, attempt, by string, c choice) {
	e.parts.Log.Info("route", "request", j.id, "attempt", attempt, "customer", j.customer.ID, "tier", j.tier.ID,
		"class", className(j), "model", j.group(), "prompt_tokens", j.tokens, "endpoint", c.endpoint, "owner", by,
		"estimate_ms", c.Estimate.Milliseconds(), "candidates", c.seen, "usable", c.usable, "reason", string(c.Reason))
	e.stories.add(j.id, Event{
		What:       "route",
		Attempt:    attempt,
		Endpoint:   c.endpoint,
		Owner:      by,
		Reason:     string(c.Reason),
		Candidates: c.seen,
	})
}

// refused takes over a refusal. It states whether another try makes sense.
func (e *Entry) refused(ctx context.Context, s *search, endpoint, by, attempt string, err error) bool {
	var r *owner.Refusal
	if !errors.As(err, &r) {
		return ctx.Err() == nil
	}
	e.parts.Log.Info("lease refused", "request", s.job.id, "attempt", attempt, "endpoint", endpoint, "owner", by,
		"code", string(r.Code), "detail", r.Detail)
	e.stories.add(s.job.id, Event{
		What:     "lease refused",
		Attempt:  attempt,
		Endpoint: endpoint,
		Owner:    by,
		Reason:   string(r.Code) + ": " + r.Detail,
	})
	s.note(r)
	switch r.Code {
	case owner.RefusedPatience:
		s.impatient++
		return true
	case owner.RefusedDeadline:
		s.late++
		s.skip = append(s.skip, endpoint)
		return s.late < maxLate
	case owner.RefusedSilent:
		e.parts.Suspect(by)
	case owner.RefusedNotOwner, owner.RefusedStopping:
		// The views of who owns what differ for a moment.
		pause(ctx, s.leases)
		return true
	}
	s.skip = append(s.skip, endpoint)
	return true
}

// note keeps the refusal that tells the caller most.
func (s *search) note(r *owner.Refusal) {
	if s.last == nil || r.Code == owner.RefusedDeadline {
		s.last = r
	}
	if r.RetryAfter > 0 && (s.soonest == 0 || r.RetryAfter < s.soonest) {
		s.soonest = r.RetryAfter
	}
}

// refusal returns the final answer to a request that found no lease.
func (s *search) refusal() *problem.Error {
	after := s.soonest
	if after == 0 {
		after = defaultRetry
	}
	p := problem.Busy(problem.CodeNoEndpoint, "no endpoint can take the request now", after)
	if s.last != nil && s.last.Code == owner.RefusedDeadline {
		p = problem.Busy(problem.CodeDeadline, "no endpoint can finish the request by its deadline", after)
	}
	p.Ran = s.job.ran()
	return p
}

// pause waits before another try, longer each time and spread out.
func pause(ctx context.Context, n int) {
	d := min(firstPause<<min(n, 10), lastPause)
	select {
	case <-time.After(d/2 + rand.N(d)):
	case <-ctx.Done():
	}
}

// release tells the owner of a lease what became of it, and holds the attempt
// no longer.
func (e *Entry) release(h *held, o owner.Outcome, step time.Duration) {
	e.Registry.drop(h.attempt)
	e.errand(func(ctx context.Context) {
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
func (e *Entry) cancel(h *held, o owner.Outcome) {
	e.Registry.drop(h.attempt)
	e.errand(func(ctx context.Context) {
		client := e.parts.Endpoints.Engine(h.Address)
		for try := range cancelTries {
			if err := client.Cancel(ctx, h.attempt); err == nil {
				break
			}
			pause(ctx, try)
		}
		// An owner that does not hear of it asks.
		_ = h.leaser.Release(ctx, owner.Release{
			Attempt:  h.attempt,
			Endpoint: h.endpoint,
			Outcome:  o,
		})
	})
}

// cancelTries is how often an entry tries to cancel an attempt itself.
const cancelTries = 3
