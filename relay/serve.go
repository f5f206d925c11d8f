// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/quarantine"
	"github.com/linkmast/linkmast/route"
)

// serve makes attempts until the request is answered or given up.
func (l *Relay) serve(ctx context.Context, j *job, w http.ResponseWriter) {
	j.out = newAnswer(w, j)
	for {
		again, final := l.attempt(ctx, j)
		if again {
			continue
		}
		l.finish(ctx, j, w, final)
		return
	}
}

// finish records how the request ended and sends the final answer if there is one. It panics
// with http.ErrAbortHandler, which closes the connection, if the caller has disconnected or has
// received only a part of the answer. Without chunks, a caller of such an answer sees a reset.
func (l *Relay) finish(ctx context.Context, j *job, w http.ResponseWriter, final *refusal) {
	took := steady.Since(j.arrived)
	switch {
	case final == nil:
		l.Metrics.add("answered")
		l.Metrics.whole.observe(took)
	case errors.Is(ctx.Err(), context.Canceled):
		l.Metrics.add("caller_gone")
		l.parts.Log.Info("caller gone", "request", j.head.ID, "route", j.route.Name, "ms", took.Milliseconds(),
			"sends", j.sends, "begun", j.out.headSent)
		panic(http.ErrAbortHandler)
	case j.out.headSent:
		// The caller must not take the answer for complete.
		l.Metrics.add("cut_off")
		l.parts.Log.Info("answer cut off", "request", j.head.ID, "route", j.route.Name, "reason", final.reason,
			"ms", took.Milliseconds(), "sends", j.sends, "events", j.out.progress.count)
		j.out.abort()
	case j.failure != nil:
		l.Metrics.add("failed_by_endpoint")
		l.parts.Log.Info("endpoint's error answer forwarded", "request", j.head.ID, "route", j.route.Name,
			"reason", final.reason, "status", j.failure.response.StatusCode)
		j.out.send(j.failure.response, j.failure.body)
	default:
		l.refuse(w, j.head, final)
	}
}

// attempt finds a placement and sends the request there once, unless the endpoint has become
// unavailable. It returns true if another attempt should follow, else the refusal to send,
// which is nil if the caller has a complete answer.
func (l *Relay) attempt(ctx context.Context, j *job) (again bool, final *refusal) {
	j.history.WaitSettled(ctx)
	if ref := l.checkBan(j); ref != nil {
		return false, ref
	}
	p, err := l.findPlacement(ctx, j)
	if ref := l.refuseLate(j); ref != nil {
		if err == nil {
			l.releasePlacement(p)
		}
		return false, ref
	}
	if err != nil {
		return false, j.placementFailure(ctx, err)
	}
	if ref := l.checkBan(j); ref != nil {
		l.releasePlacement(p)
		return false, ref
	}
	if b := l.findUnavailable(&p.grant); b != nil {
		l.releasePlacement(p)
		l.Metrics.add("places_declined")
		l.parts.Log.Info("place declined", "request", j.head.ID, "attempt", p.request.ID, "endpoint", b.endpoint,
			"reason", b.reason, "by", p.grant.DecidedBy)
		j.exclude = append(j.exclude, b.endpoint)
		return true, nil
	}
	if j.requiresKey && !j.mayHaveRun {
		if late := l.tooOldForKeys(l.currentConfiguration(), j.left()); late != nil {
			l.releasePlacement(p)
			return false, late
		}
	}
	t := &attempt{
		relay:   l,
		job:     j,
		request: p.request,
		grant:   p.grant,
	}
	res := t.run(ctx)
	l.parts.Placer.End(p.request.ID, p.request.Service, res.outcome, res.culprit)
	l.logAttempt(j, t, res)
	l.reportOutcome(t, res)
	return l.handleResult(ctx, j, t, res)
}

// findPlacement returns the placement that was found during the last attempt, or requests a new
// one.
func (l *Relay) findPlacement(ctx context.Context, j *job) (*nextPlacement, error) {
	if p := j.next; p != nil {
		j.next = nil
		return p, nil
	}
	a := l.newPlacementRequest(j)
	a.Resumed, a.DueIn = j.resumes()
	j.counted = true
	ctx, stop := l.sendContext(ctx, j)
	defer stop()
	g, err := l.parts.Placer.Place(ctx, a)
	if err != nil {
		return nil, err
	}
	return &nextPlacement{
		request: a,
		grant:   g,
	}, nil
}

// releasePlacement returns a placement to which nothing was sent.
func (l *Relay) releasePlacement(p *nextPlacement) {
	l.parts.Placer.End(p.request.ID, p.request.Service, pool.Unused, "")
}

// handleResult decides whether another attempt follows t. It keeps a placement that was found
// during t for the next attempt, or releases it.
func (l *Relay) handleResult(ctx context.Context, j *job, t *attempt, res result) (again bool, final *refusal) {
	if !res.answered {
		again, final = l.retryOrGiveUp(ctx, j, t, res)
	}
	switch {
	case t.next == nil:
	case again:
		j.next = t.next
	default:
		l.releasePlacement(t.next)
	}
	return again, final
}

// newPlacementRequest returns a placement request for the next attempt of a job.
func (l *Relay) newPlacementRequest(j *job) pool.PlacementRequest {
	a := pool.PlacementRequest{
		ID:        l.attemptID(j.head.ID),
		Service:   j.service,
		Customer:  j.customer,
		Rank:      j.rank,
		Route:     j.route.Name,
		RouteRank: j.route.Rank,
		Prompt:    j.head.PromptTokens,
		Output:    j.head.OutputTokens,
		Content:   j.head.Content,
		Target:    j.route.Target - steady.Since(j.arrived),
		Deadline:  j.left(),
		Exclude:   j.exclude,
		Retry:     j.sends > 0,
		Counted:   j.counted,
		Returning: j.spent > 0,
		Elapsed:   j.spent,
	}
	if j.route.Kind == route.Streaming {
		a.Gap = j.route.GapTarget
	}
	return a
}

// maxAttemptPrefix bounds the part of a request's ID that the IDs of its attempts contain, in bytes.
const maxAttemptPrefix = 64

// attemptID returns an ID for an attempt at the request with the given ID, which may have any bytes. The ID of
// the attempt also appears in messages between instances, which hold only valid UTF-8, and in lists with
// separators.
func (l *Relay) attemptID(request string) string {
	prefix := []byte(request[:min(len(request), maxAttemptPrefix)])
	for i, c := range prefix {
		if c <= ' ' || c > '~' || strings.IndexByte(",;:/", c) >= 0 {
			prefix[i] = '_'
		}
	}
	return string(prefix) + "." + l.settings.Self + "." + strconv.FormatUint(l.counter.Add(1), 36)
}

// placementFailure returns the refusal of a request that got no placement.
func (j *job) placementFailure(ctx context.Context, err error) *refusal {
	var r *pool.Refusal
	if errors.As(err, &r) {
		return j.giveUp(r.Reason, r.RetryAfter)
	}
	if ctx.Err() != nil {
		return j.giveUp("no place in time", defaultRetryAfter)
	}
	return j.giveUp(err.Error(), defaultRetryAfter)
}

// retryOrGiveUp decides what follows an attempt without a complete answer: it returns true for
// another attempt, else the refusal to send.
func (l *Relay) retryOrGiveUp(ctx context.Context, j *job, t *attempt, res result) (bool, *refusal) {
	j.exclude = append(j.exclude, t.endpointToExclude(res)...)
	switch {
	case ctx.Err() != nil:
		return false, j.giveUp("out of time", 0)
	case j.mayHaveRun && (j.singleEndpoint || !j.route.Idempotent()):
		return false, j.giveUp(res.reason, 0)
	case j.out.progress.unidentified:
		return false, j.giveUp(res.reason+"; its last event has no ID", 0)
	case res.noPath:
		j.noPaths++
		if j.noPaths < maxNoPath {
			return true, nil
		}
		return false, j.giveUp(res.reason, defaultRetryAfter)
	case res.unsent, res.outcome == pool.Unreachable && len(j.exclude) <= maxUnreachable:
		return true, nil
	case j.out.headSent && res.interrupted && len(j.exclude) <= maxResumes:
		// A resumed stream may exceed the route's number of attempts.
		return true, nil
	case j.attemptsLeft() > 0:
		return true, nil
	}
	return false, j.giveUp(res.reason, defaultRetryAfter)
}

// Limits on retries beyond the route's number of attempts. Those that don't say otherwise apply to
// the length of job.exclude.
const (
	// maxUnreachable applies after an attempt that could not connect.
	maxUnreachable = 4
	// maxNoPath is the number of attempts without a path to endpoints after which a request is
	// given up, as others would fail as well.
	maxNoPath = 2
	// maxResumes applies after a stream was interrupted.
	maxResumes = 3
)

// logAttempt counts and logs the outcome of an attempt.
func (l *Relay) logAttempt(j *job, t *attempt, res result) {
	l.Metrics.add("attempts_" + res.outcome.String())
	age, _ := l.parts.Age()
	l.parts.Log.Info("attempt", "request", j.head.ID, "attempt", t.request.ID, "route", j.route.Name,
		"version", j.table.Version, "age_ms", age.Milliseconds(), "service", j.service, "customer", j.customer, "prompt", j.head.PromptTokens,
		"identity", j.history.Identity.String(), "parts", quarantine.Texts(j.history.Parts),
		"endpoint", t.grant.Instance, "by", t.grant.DecidedBy, "via", t.via, "readers", len(t.grant.Shares),
		"waited_ms", t.grant.Waited.Milliseconds(), "first_predicted_ms", t.grant.FirstEventIn.Milliseconds(),
		"first_ms", t.firstAfter.Milliseconds(), "ms", steady.Since(t.startedAt).Milliseconds(),
		"outcome", res.outcome.String(), "reason", res.reason, "status", res.status, "events", j.out.progress.count,
		"framing", t.framing, "leftover", t.leftover,
		"longest_gap_ms", t.longestGap.Milliseconds(), "target_ms", j.route.Target.Milliseconds(),
		"gap_ms", j.route.GapTarget.Milliseconds())
}
