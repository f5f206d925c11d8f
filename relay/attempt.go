// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/internal/upstream"
	"github.com/linkmast/linkmast/notice"
	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/route"
)

// attempt is one attempt at an endpoint.
type attempt struct {
	relay   *Relay
	job     *job
	request pool.PlacementRequest
	grant   pool.Grant

	// caller ends when the caller goes or its time is over.
	caller context.Context
	// next is the place of the next attempt, when this one was ended for it.
	next      *nextPlacement
	startedAt time.Time
	// firstAfter is the time to the first sign of an answer; zero before.
	firstAfter time.Duration
	// longestGap is the longest pause between events so far.
	longestGap time.Duration
}

// result is how an attempt ended.
type result struct {
	outcome pool.Outcome
	// culprit is the endpoint at fault, if it is not that of the grant.
	culprit string
	// final states that the caller has a whole answer.
	final bool
	// brokenOff states that the endpoint brokenOff its answer off.
	brokenOff bool
	// unsent states that nothing was sent, as the endpoint had become one that gets nothing new.
	unsent bool
	// connectionLost states that the connection ended before the answer did.
	connectionLost bool
	// status is that of the endpoint's answer; zero without one.
	status int
	// reason says why there is no whole answer, for the log and the caller.
	reason string
}

// The ages up to which a connection is used again. A request that must not run
// twice is lost when its endpoint closes the connection at that moment.
const (
	// maxIdleIdempotent leaves it to the idle time that the endpoint names, or that
	// of package upstream, which is shorter.
	maxIdleIdempotent = time.Minute
	// maxIdleOnce is well below that idle time.
	maxIdleOnce = time.Second
)

// run sends the request and passes the answer on.
func (t *attempt) run(ctx context.Context) result {
	t.startedAt = steady.Now()
	t.caller = ctx
	hold, err := t.reserve(ctx)
	if err != nil {
		return result{
			outcome: pool.Rejected,
			reason:  err.Error(),
		}
	}
	defer hold.free()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request := t.buildRequest()
	watch := t.watch(ctx, cancel)
	defer func() { t.next = watch.end() }()
	x, err := t.relay.parts.Upstream.Do(ctx, request)
	if err != nil {
		// The watch looks at the job; it ends before the job changes.
		watch.end()
		return t.handleNoAnswer(err, watch)
	}
	defer x.Close()
	return t.handleAnswer(x, watch)
}

// buildRequest builds what is sent.
func (t *attempt) buildRequest() upstream.Request {
	j := t.job
	h := j.header.Clone()
	call := OutgoingHead{
		Instance:  t.grant.Instance,
		Customer:  j.customer,
		Wait:      j.left(),
		LastEvent: j.out.events.last,
		Rank:      j.rank,
		Readers:   t.grant.Shares,
	}
	t.relay.parts.Wire.Outgoing(h, call)
	fresh := maxIdleOnce
	if j.route.Idempotent() {
		fresh = maxIdleIdempotent
	}
	j.sends++
	return upstream.Request{
		Address: t.grant.Address,
		Method:  j.method,
		Target:  j.target,
		Host:    j.host,
		Header:  h,
		Body:    j.body,
		MaxIdle: fresh,
		Check: func() error {
			if b := t.relay.findExcluded(&t.grant); b != nil {
				return b
			}
			return nil
		},
		Matches: func(res *http.Response) bool {
			head := t.relay.parts.Wire.Answer(res)
			own := head.ID == j.head.ID || head.ID == "" && res.StatusCode >= http.StatusBadRequest
			t.reportNotice(res.StatusCode, head, own)
			return own
		},
	}
}

// reportNotice takes over what an answer says of its endpoint, also one that is not the request's own but
// that of an earlier one on the same connection. A misdirected request was answered by another
// endpoint.
func (t *attempt) reportNotice(status int, head AnswerHead, own bool) {
	if t.relay.parts.Notices == nil || status == http.StatusMisdirectedRequest {
		return
	}
	a := notice.Answer{
		Instance:  t.grant.Instance,
		StartedAt: t.grant.StartedAt,
		Request:   t.job.head.ID,
	}
	if own {
		a.SentAt = t.startedAt
	}
	t.relay.parts.Notices.RecordAnswer(a, head.Notice)
}

// handleNoAnswer judges an attempt without the head of an answer.
func (t *attempt) handleNoAnswer(err error, w *watch) result {
	var e *upstream.Error
	var barred *excludedError
	if errors.As(err, &barred) {
		t.job.sends--
		t.relay.Metrics.add("places_declined")
		return result{
			outcome: pool.Abandoned,
			unsent:  true,
			culprit: barred.endpoint,
			reason:  barred.Error(),
		}
	}
	if errors.As(err, &e) && !e.Sent {
		t.job.sends--
		return result{
			outcome: pool.Unreachable,
			reason:  "endpoint can't be reached: " + e.Err.Error(),
		}
	}
	t.job.ran = true
	return t.handleBroken(err, w)
}

// handleBroken judges an attempt whose answer broke off.
func (t *attempt) handleBroken(err error, w *watch) result {
	res := result{
		outcome: pool.Failed,
		reason:  "answer broke off: " + err.Error(),
	}
	switch {
	case t.caller.Err() != nil && t.job.left() > 0:
		res.outcome = pool.Abandoned
		res.reason = "caller gone"
	case w.expired():
		res.outcome = pool.Silent
		res.reason = "endpoint is silent"
	case t.job.left() <= 0:
		res.reason = "out of time"
		res.outcome = pool.Abandoned
	case t.job.out.gone():
		res.outcome = pool.Abandoned
		res.reason = "caller gone"
	default:
		res.brokenOff, res.connectionLost = true, true
	}
	return res
}

// handleAnswer passes an answer on, or judges one that is no use to the caller.
func (t *attempt) handleAnswer(x *upstream.Exchange, w *watch) result {
	j := t.job
	res := x.Response
	head := t.relay.parts.Wire.Answer(res)
	if head.NotRun {
		return t.handleRejection(x, head)
	}
	j.ran = true
	success := res.StatusCode >= http.StatusOK && res.StatusCode < http.StatusMultipleChoices
	if success && j.route.Kind == route.Streaming {
		return t.relayStream(x, w)
	}
	return t.relayWhole(x, w, success)
}

// handleRejection judges an answer that says that the request did not run.
func (t *attempt) handleRejection(x *upstream.Exchange, head AnswerHead) result {
	// What is left of the answer decides only whether the connection is kept.
	if _, err := io.Copy(io.Discard, io.LimitReader(x.Response.Body, maxRejection)); err == nil {
		x.MarkComplete()
	}
	r := result{
		outcome: pool.Rejected,
		culprit: head.Culprit,
		status:  x.Response.StatusCode,
		reason:  "endpoint did not run it",
	}
	if x.Response.StatusCode == http.StatusMisdirectedRequest {
		r.outcome = pool.Misplaced
		r.reason = "another endpoint has the address"
	}
	return r
}

// maxRejection bounds how much of a rejection is read, in bytes.
const maxRejection = 64 << 10

// recordFirstEvent notes the recordFirstEvent sign of an answer; later ones change nothing.
func (t *attempt) recordFirstEvent() {
	if t.firstAfter > 0 {
		return
	}
	t.firstAfter = steady.Since(t.startedAt)
	t.relay.parts.Placer.First(t.request.ID, t.request.Service)
	if t.job.route.Kind == route.Streaming {
		t.relay.Metrics.first.observe(steady.Since(t.job.arrived))
	}
}

// excluded returns the endpoints that the request must not be sent to again.
func (t *attempt) excluded(res result) []string {
	if res.culprit == "" || res.culprit == t.grant.Address {
		return []string{t.grant.Instance}
	}
	for _, r := range t.grant.Shares {
		if r.Address == res.culprit || r.Instance == res.culprit {
			return []string{r.Instance}
		}
	}
	return []string{t.grant.Instance}
}
