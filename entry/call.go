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

// callPlain makes one call of a plain service.
func (e *Entry) callPlain(ctx context.Context, j *job, c plain.Call, out Writer) *problem.Error {
	s := &search{
		job: j,
	}
	for {
		j.history.WaitSettled(ctx)
		h, fail := e.lease(ctx, s, j.work(1))
		if fail != nil {
			return fail
		}
		if fail = cmp.Or(e.expired(ctx, j), e.barred(j)); fail != nil {
			e.release(h, owner.NotStarted, 0)
			return fail
		}
		if !steady.Now().Before(h.startBy) {
			e.release(h, owner.NotStarted, 0)
			continue
		}
		a, err := e.callOnce(ctx, j, h, c)
		if err == nil {
			return answered(a, out)
		}
		again, fail := e.judgeCall(ctx, s, h, err)
		if !again || !e.budget.spend() {
			return fail
		}
	}
}

// callOnce dispatches a call.
func (e *Entry) callOnce(ctx context.Context, j *job, h *held, c plain.Call) (plain.Answer, error) {
	j.dispatches++
	e.metrics.add("dispatches", 1)
	c.Instance = h.Instance
	began := steady.Now()
	a, err := e.parts.Endpoints.Plain(h.Address).Call(ctx, c)
	if err != nil {
		var ce *plain.CallError
		if ctx.Err() == nil && (!errors.As(err, &ce) || ce.Ran != problem.NotRun) {
			e.broke(j, began, h)
		}
		return a, err
	}
	e.served(j)
	e.release(h, owner.Done, 0)
	e.stories.add(j.id, Event{
		What:     "answered",
		Attempt:  h.attempt,
		Endpoint: h.endpoint,
	})
	return a, nil
}

// answered passes a whole answer on.
func answered(a plain.Answer, out Writer) *problem.Error {
	// The call has run; a caller that went away changes nothing.
	_ = out.Head(a.Status, a.ContentType)
	_ = out.Write(a.Body)
	return nil
}

// judgeCall takes over the failure of a call. It states whether another may be
// made.
func (e *Entry) judgeCall(ctx context.Context, s *search, h *held, err error) (bool, *problem.Error) {
	j := s.job
	s.skip = append(s.skip, h.endpoint)
	e.stories.add(j.id, Event{
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
		p := problem.Busy(problem.CodeNoEndpoint, "no endpoint of the plain service took the call", defaultRetry)
		p.Ran = j.ran()
		return true, p
	}
	e.release(h, owner.Failed, 0)
	if fail := e.expired(ctx, j); fail != nil {
		return false, fail
	}
	p := &problem.Error{
		Code:   problem.CodeEndpointFailed,
		Status: http.StatusBadGateway,
		Ran:    problem.MayHaveRun,
		Detail: "the plain service did not answer",
	}
	return j.repeats(), p
}
