// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package entry

import (
	"cmp"
	"context"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/owner"
	"github.com/linkmast/linkmast/plain"
	"github.com/linkmast/linkmast/problem"
)

// callPlain calls a plain service until it answers, or returns the final error.
func (e *Entry) callPlain(ctx context.Context, j *job, c plain.Call, out Writer) *problem.Error {
	s := &leaseSearch{
		job: j,
	}
	for {
		j.history.WaitSettled(ctx)
		h, fail := e.lease(ctx, s, j.work(1))
		if fail != nil {
			return fail
		}
		if fail = cmp.Or(e.checkExpired(ctx, j), e.checkBan(j)); fail != nil {
			e.release(h, owner.NotStarted, 0)
			return fail
		}
		if !steady.Now().Before(h.startBy) {
			e.release(h, owner.NotStarted, 0)
			continue
		}
		a, err := e.callOnce(ctx, j, h, c)
		if err == nil {
			return writeAnswer(a, out)
		}
		again, fail := e.handleCallFailure(ctx, s, h, err)
		if !again || !e.budget.spend() {
			return fail
		}
	}
}

// callOnce sends a call to the endpoint of a lease. It ends the lease if the call was answered.
func (e *Entry) callOnce(ctx context.Context, j *job, h *heldLease, c plain.Call) (plain.Answer, error) {
	j.dispatches++
	e.metrics.add("dispatches", 1)
	c.Instance = h.Instance
	startedAt := steady.Now()
	a, err := e.parts.Endpoints.Plain(h.Address).Call(ctx, c)
	if err != nil {
		var ce *plain.CallError
		if ctx.Err() == nil && (!errors.As(err, &ce) || ce.Ran != problem.NotRun) {
			e.reportFailedAttempt(j, startedAt, h)
		}
		return a, err
	}
	e.reportServed(j)
	e.release(h, owner.Done, 0)
	e.traces.add(j.id, Event{
		What:     "answered",
		Attempt:  h.attempt,
		Endpoint: h.endpoint,
	})
	return a, nil
}

// writeAnswer forwards a complete answer to the caller.
func writeAnswer(a plain.Answer, out Writer) *problem.Error {
	// The call has run, so it does not fail if the caller has disconnected.
	_ = out.Head(a.Status, a.ContentType)
	_ = out.Write(a.Body)
	return nil
}

// handleCallFailure logs a failed call and ends its lease. It returns whether another call may
// be made, and the answer to the caller if none is made.
func (e *Entry) handleCallFailure(ctx context.Context, s *leaseSearch, h *heldLease, err error) (bool, *problem.Error) {
	j := s.job
	s.exclude = append(s.exclude, h.endpoint)
	e.traces.add(j.id, Event{
		What:     "call failed",
		Attempt:  h.attempt,
		Endpoint: h.endpoint,
		Reason:   err.Error(),
	})
	e.parts.Log.Info("attempt failed", "request", j.id, "attempt", h.attempt, "endpoint", h.endpoint,
		"identity", j.history.Identity.String(), "cause", err.Error())
	var ce *plain.CallError
	if errors.As(err, &ce) && ce.Ran == problem.NotRun {
		j.dispatches--
		e.release(h, owner.NotStarted, 0)
		p := problem.Busy(problem.CodeNoEndpoint, "no endpoint of the plain service took the call", defaultRetryAfter)
		p.Ran = j.runState()
		return true, p
	}
	e.release(h, owner.Failed, 0)
	if fail := e.checkExpired(ctx, j); fail != nil {
		return false, fail
	}
	p := &problem.Error{
		Code:   problem.CodeEndpointFailed,
		Status: http.StatusBadGateway,
		Ran:    problem.MayHaveRun,
		Detail: "the plain service did not answer",
	}
	return j.mayRetry(), p
}
