// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/claim"
	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/problem"
)

// claimTimeout bounds the wait for the decision on a claim.
const claimTimeout = 3 * time.Second

// freeingKeyRetryAfter is how long a caller should wait before a retry while its key is being
// freed.
const freeingKeyRetryAfter = time.Second

// logRetryAfter is how long a caller should wait before a retry if the decision on its claim is
// not available.
const logRetryAfter = 5 * time.Second

// once runs a request with an idempotency key at most once. If another request holds the key,
// the caller gets the answer to that one. The request that holds the key runs to its end even
// if its caller disconnects, because a repeated request may ask for the answer.
func (e *Entry) once(ctx context.Context, j *job, caller *callerWriter, f func(context.Context, Writer) *problem.Error) *problem.Error {
	j.keyClaim.Instance = e.settings.Self.ID
	// The kept answer is created before the claim, so that a request which sees the claim finds
	// the answer.
	k := e.Answers.open(j.id)
	waiting, cancel := context.WithTimeout(ctx, claimTimeout)
	winner, err := e.parts.Claimer.Claim(waiting, *j.keyClaim)
	cancel()
	if err != nil {
		k.finish(errNoAnswer)
		return problem.Busy(problem.CodeLogDown, "whether the key is free can't be told now", logRetryAfter)
	}
	if winner.Request != j.id {
		k.finish(errNoAnswer)
		return e.attach(ctx, j, winner, caller)
	}
	run, cancel := context.WithTimeout(context.WithoutCancel(ctx), steady.Until(j.deadline))
	defer cancel()
	fail := f(run, &teeWriter{
		caller: caller,
		kept:   k,
	})
	switch {
	case fail == nil:
		k.finish(nil)
	case j.dispatches == 0:
		e.parts.Claimer.FreeLater(*j.keyClaim)
		k.finish(errRefusedBeforeRun)
	default:
		k.finish(errNoAnswer)
	}
	return fail
}

// attach sends the caller the answer to the request that holds the key. It returns an error if
// the answer is not available or incomplete, with status 0 if a part of it was sent.
func (e *Entry) attach(ctx context.Context, j *job, winner claim.Claim, caller *callerWriter) *problem.Error {
	e.traces.add(j.id, Event{
		What:   "attached",
		Reason: "request " + winner.Request + " on " + winner.Instance + " holds the key",
	})
	e.metrics.add("attached", 1)
	err := e.attachTo(ctx, winner, caller)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errRefusedBeforeRun):
		return problem.Busy(problem.CodeBusy, "another request with this key was refused just now", freeingKeyRetryAfter)
	}
	p := problem.New(problem.CodeKeyUsed, http.StatusConflict,
		"a request with this key was accepted before, and its answer can't be had: "+err.Error())
	p.Ran = problem.MayHaveRun
	if caller.headSent {
		p.Status = 0
	}
	return p
}

func (e *Entry) attachTo(ctx context.Context, winner claim.Claim, caller *callerWriter) error {
	if winner.Instance == e.settings.Self.ID {
		return e.Answers.CopyTo(ctx, winner.Request, caller)
	}
	return e.parts.Attach.Attach(ctx, winner.Instance, winner.Request, caller)
}
