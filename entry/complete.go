// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package entry

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/engine"
	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/owner"
	"github.com/linkmast/linkmast/policy"
	"github.com/linkmast/linkmast/problem"
)

// sink writes the tokens of an answer to the caller.
type sink interface {
	// token writes the next token.
	token(text string) error
	// end completes the answer.
	end(u usage) error
	// started reports whether a part of the answer has been sent to the caller.
	started() bool
	// restart discards the tokens that have not been sent to the caller yet.
	restart()
}

// usage holds the token counts of an answer and its finish reason.
type usage struct {
	prompt int
	cached int
	output int
	reason string
}

// errCallerWrite is the error of an answer that can't be written to the caller.
var errCallerWrite = errors.New("the caller does not take the answer")

// errStalled is the error of an attempt that the watchdog cancelled.
var errStalled = errors.New("the endpoint went silent")

// maxResumes is the number of times that the stream of one attempt may be resumed.
const maxResumes = 3

// complete makes attempts until one delivers a complete answer to out. It returns nil then,
// else the final error.
func (e *Entry) complete(ctx context.Context, j *job, out sink) *problem.Error {
	s := &leaseSearch{
		job: j,
	}
	for {
		j.history.WaitSettled(ctx)
		team, fail := e.acquireLeases(ctx, s)
		if fail != nil {
			return fail
		}
		again, fail := e.attempt(ctx, s, team, out)
		if !again {
			return fail
		}
		if !e.budget.spend() {
			return fail
		}
		out.restart()
	}
}

// attempt runs one attempt on the endpoints of a team. If it fails, it returns the error for
// the caller and whether another attempt may be made.
func (e *Entry) attempt(ctx context.Context, s *leaseSearch, t *team, out sink) (bool, *problem.Error) {
	j := s.job
	// Check the deadline and the lease immediately before the dispatch, because the process may
	// have been suspended since the lease was granted.
	if fail := cmp.Or(e.checkExpired(ctx, j), e.checkBan(j)); fail != nil {
		e.disband(t, owner.NotStarted)
		return false, fail
	}
	if !steady.Now().Before(t.lead.startBy) {
		e.disband(t, owner.NotStarted)
		return true, problem.Busy(problem.CodeBusy, "the lease lapsed before it was used", defaultRetryAfter)
	}
	run := &run{
		entry: e,
		job:   j,
		team:  t,
		out:   out,
		check: engine.AnswerChecker{
			Attempt: t.lead.attempt,
		},
	}
	err := run.do(ctx)
	return e.handleOutcome(ctx, s, run, err)
}

// handleOutcome ends the leases of an attempt and logs its failure. It returns whether another
// attempt may be made, and the error for the caller if none is made.
func (e *Entry) handleOutcome(ctx context.Context, s *leaseSearch, r *run, err error) (bool, *problem.Error) {
	j, lead := s.job, r.team.lead
	if err == nil {
		e.finishAttempt(r)
		return false, nil
	}
	e.traces.add(j.id, Event{
		What:     "attempt failed",
		Attempt:  lead.attempt,
		Endpoint: lead.endpoint,
		Reason:   err.Error(),
	})
	e.parts.Log.Info("attempt failed", "request", j.id, "attempt", lead.attempt, "endpoint", lead.endpoint,
		"identity", j.history.Identity.String(), "cause", err.Error(), "started", r.engineAnswered)
	s.exclude = append(s.exclude, lead.endpoint)
	var re *engine.RunError
	if errors.As(err, &re) && re.Ran == problem.NotRun && !r.engineAnswered {
		j.dispatches--
		e.disband(r.team, owner.NotStarted)
		if fail := e.checkExpired(ctx, j); fail != nil {
			return false, fail
		}
		fail := problem.Busy(problem.CodeNoEndpoint, "the endpoint did not start the request", defaultRetryAfter)
		fail.Ran = j.runState()
		return true, fail
	}
	e.cancelAll(r.team)
	if fail := e.checkExpired(ctx, j); fail != nil {
		return false, fail
	}
	if !errors.Is(err, errCallerWrite) {
		e.reportFailedAttempt(j, r.startedAt, r.team.all()...)
	}
	fail := failureProblem(err, r.engineAnswered)
	return j.mayRetry() && !r.out.started(), fail
}

// failureProblem returns the error for the caller of a request that may have run. Started
// states that the engine has sent a part of the answer.
func failureProblem(err error, started bool) *problem.Error {
	ran := problem.MayHaveRun
	if started {
		ran = problem.DidRun
	}
	var bad *engine.AnswerError
	p := &problem.Error{
		Code:       problem.CodeEndpointFailed,
		Status:     http.StatusBadGateway,
		Ran:        ran,
		Detail:     "the endpoint failed before the answer was whole",
		RetryAfter: defaultRetryAfter,
	}
	switch {
	case errors.As(err, &bad):
		p.Code = problem.CodeBadAnswer
		p.Detail = bad.Error()
	case errors.Is(err, errStalled):
		p.Code = problem.CodeStalled
		p.Status = http.StatusGatewayTimeout
		p.Detail = err.Error()
	case errors.Is(err, errCallerWrite):
		p.Code = problem.CodeCancelled
		p.Status = statusClosed
		p.Detail = err.Error()
	}
	return p
}

// run holds the state of one attempt.
type run struct {
	entry *Entry
	job   *job
	team  *team
	out   sink
	check engine.AnswerChecker

	// startedAt is when the attempt was dispatched.
	startedAt time.Time
	// engineAnswered states that the engine has sent a part of the answer.
	engineAnswered bool
	resumes        int
	first          time.Time
	last           time.Time
	tokens         int
	usage          usage
}

// do dispatches the attempt and forwards its answer. It resumes an interrupted stream at the
// same engine, at most maxResumes times.
func (r *run) do(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := newWatchdog(time.Duration(r.job.view.File.Limits.Stall), cancel)
	defer w.stop()
	client := r.entry.parts.Endpoints.Engine(r.team.lead.Address)
	r.job.dispatches++
	r.startedAt = steady.Now()
	r.entry.metrics.add("dispatches", 1)
	stream, err := client.Run(ctx, r.attempt())
	for {
		if err == nil {
			err = r.forward(stream, w)
		}
		if err == nil || !r.resumable(ctx, err) {
			return w.cause(err)
		}
		r.resumes++
		stream, err = client.Resume(ctx, r.team.lead.attempt, r.check.Next())
	}
}

// attempt returns the attempt in the form that is sent to the engine.
func (r *run) attempt() engine.Attempt {
	lead := r.team.lead
	a := engine.Attempt{
		ID:        lead.attempt,
		Holder:    r.entry.settings.Self.ID,
		Instance:  lead.Instance,
		Model:     r.job.model.ID,
		Adapter:   r.job.adapter,
		Prompt:    r.job.prompt,
		MaxTokens: r.job.output,
		Priority:  lead.Priority,
	}
	for _, m := range r.team.members {
		a.Members = append(a.Members, m.attempt)
	}
	return a
}

// resumable reports whether the stream may be resumed after err.
func (r *run) resumable(ctx context.Context, err error) bool {
	var re *engine.RunError
	refused := errors.As(err, &re)
	return ctx.Err() == nil && !refused && !errors.Is(err, errCallerWrite) && r.engineAnswered && r.resumes < maxResumes
}

// forward forwards the chunks of a stream to the sink until the end of the answer.
func (r *run) forward(stream engine.Stream, w *watchdog) error {
	// An error of Close does not affect the answer.
	defer func() { _ = stream.Close() }()
	for {
		k, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		w.reset()
		r.engineAnswered = true
		fresh, err := r.check.Accept(k)
		if err != nil {
			return err
		}
		if !fresh {
			continue
		}
		if k.End != "" {
			return r.finish(k)
		}
		if err := r.forwardToken(k); err != nil {
			return err
		}
	}
}

// forwardToken writes one token to the sink.
func (r *run) forwardToken(k engine.Chunk) error {
	r.last = steady.Now()
	r.tokens++
	if r.tokens == 1 {
		r.first = r.last
		r.reportFirstToken()
	}
	if err := r.out.token(k.Text); err != nil {
		return errors.Wrap(errCallerWrite, err.Error())
	}
	if r.out.started() {
		// The request can't be sent to another endpoint any more, so free the prompt's memory.
		r.job.prompt = ""
	}
	return nil
}

// reportFirstToken reports to the owners of all leases of a long prompt that its prefill is
// done.
func (r *run) reportFirstToken() {
	if r.job.class() < policy.Long {
		return
	}
	for _, h := range r.team.all() {
		r.entry.runInBackground(func(ctx context.Context) {
			// If the report is lost, the owner keeps using its estimate.
			_ = h.leaser.Release(ctx, owner.Release{
				Attempt:  h.attempt,
				Endpoint: h.endpoint,
				Outcome:  owner.FirstToken,
			})
		})
	}
}

func (r *run) finish(k engine.Chunk) error {
	r.usage = usage{
		prompt: k.PromptTokens,
		cached: k.CachedTokens,
		output: r.tokens,
		reason: k.End,
	}
	if err := r.out.end(r.usage); err != nil {
		return errors.Wrap(errCallerWrite, err.Error())
	}
	return nil
}

// tokenInterval returns the mean time between tokens; zero for fewer than two.
func (r *run) tokenInterval() time.Duration {
	if r.tokens < 2 {
		return 0
	}
	return r.last.Sub(r.first) / time.Duration(r.tokens-1)
}

// finishAttempt records a complete answer and ends the leases of its attempt.
func (e *Entry) finishAttempt(r *run) {
	e.reportServed(r.job)
	e.hitRates.observe(r.job.customer.ID, r.job.class(), r.usage.cached, r.usage.prompt)
	e.metrics.add("tokens", int64(r.tokens))
	e.traces.add(r.job.id, Event{
		What:     "answered",
		Attempt:  r.team.lead.attempt,
		Endpoint: r.team.lead.endpoint,
	})
	e.release(r.team.lead, owner.Done, r.tokenInterval())
	for _, m := range r.team.members {
		e.cancel(m, owner.Done)
	}
}

// watchdog cancels an attempt if its endpoint sends nothing for longer than a limit.
type watchdog struct {
	limit   time.Duration
	timer   *time.Timer
	stalled atomic.Bool
}

func newWatchdog(limit time.Duration, cancel context.CancelFunc) *watchdog {
	w := &watchdog{
		limit: limit,
	}
	w.timer = time.AfterFunc(limit, func() {
		w.stalled.Store(true)
		cancel()
	})
	return w
}

func (w *watchdog) reset() {
	w.timer.Reset(w.limit)
}

func (w *watchdog) stop() {
	w.timer.Stop()
}

// cause returns errStalled if the watchdog has caused err, else err.
func (w *watchdog) cause(err error) error {
	if err != nil && w.stalled.Load() {
		return errStalled
	}
	return err
}
