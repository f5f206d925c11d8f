// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/internal/tcp"
	"github.com/linkmast/linkmast/internal/upstream"
	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/notice"
	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/route"
)

// attempt is one try of a request at one endpoint.
type attempt struct {
	relay   *Relay
	job     *job
	request pool.PlacementRequest
	grant   pool.Grant

	// caller is done when the caller disconnects or the request's time is over.
	caller context.Context
	// next is the placement of the next attempt, if this one was cancelled in favor of it.
	next *nextPlacement
	// startedAt is when the attempt started, before it reserved memory.
	startedAt time.Time
	// firstAfter is the time until the first event, or until an answer that is not a stream was
	// read; zero before.
	firstAfter time.Duration
	// via is the instance that forwards the connection to the endpoint; empty for a direct one.
	via string
	// progressed is set once the quarantine knows that the answer has begun.
	progressed bool
	// longestGap is the longest pause between events so far.
	longestGap time.Duration
	// framing is how the answer's end is marked; empty without an answer. leftover is the number of
	// bytes after the last complete event of a stream when its answer ended.
	framing  string
	leftover int
}

// result is the outcome of an attempt.
type result struct {
	outcome pool.Outcome
	// culprit is the address or id of the endpoint at fault; empty means the endpoint of the
	// grant.
	culprit string
	// answered states that the caller has received a complete answer.
	answered bool
	// interrupted states that the connection failed before the answer was complete, that the answer
	// exceeded a limit or that its head was malformed, and neither the caller nor the deadline ended
	// it. A stream may then be resumed beyond the route's number of attempts. It is not set once an
	// answer that is too large to buffer is being forwarded.
	interrupted bool
	// unsent states that nothing was sent, because an endpoint of the grant became unavailable
	// after the placement.
	unsent bool
	// noPath states that nothing was sent, because neither this instance nor those that it asked
	// reach endpoints.
	noPath bool
	// connectionLost states that the connection to the endpoint ended before the answer was
	// complete, so that the endpoint may have crashed.
	connectionLost bool
	// status is the status of the endpoint's answer; zero if there was none.
	status int
	// reason explains why there is no complete answer, for the log and the caller.
	reason string
}

// Limits on how long a reused connection may have been idle. If the endpoint closes an idle
// connection just as a request is sent, a request that is not idempotent can't be retried.
const (
	// maxIdleIdempotent exceeds the idle timeouts of endpoints and of package upstream, so only
	// those apply.
	maxIdleIdempotent = time.Minute
	// maxIdleOnce is well below the idle timeouts of endpoints.
	maxIdleOnce = time.Second
)

// run reserves the memory that the grant names, sends the request and forwards the answer.
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
	defer t.verifyLate()()
	x, err := t.relay.parts.Upstream.Do(ctx, request)
	if err != nil {
		// The watch reads the job, so it has to end before the job changes.
		watch.end()
		return t.handleNoAnswer(err, watch)
	}
	defer x.Close()
	t.via = x.Via()
	return t.handleAnswer(x, watch)
}

// pathCheckDelay is the time without an answer of a plain endpoint after which the path to it is
// verified. Most answers take far less.
const pathCheckDelay = 500 * time.Millisecond

// verifyLate verifies the path to a plain endpoint if the attempt is not over after pathCheckDelay.
// The caller calls stop at its end. The watch verifies the paths of streams.
func (t *attempt) verifyLate() (stop func()) {
	verify := t.relay.parts.VerifyPath
	if verify == nil || t.job.route.Kind == route.Streaming {
		return func() {}
	}
	timer := time.AfterFunc(pathCheckDelay, func() { verify(t.grant.Address) })
	return func() { timer.Stop() }
}

// buildRequest returns the request for the endpoint and counts it as sent.
func (t *attempt) buildRequest() upstream.Request {
	j := t.job
	h := j.header.Clone()
	call := OutgoingHead{
		Instance:  t.grant.Instance,
		Customer:  j.customer,
		Wait:      j.left(),
		LastEvent: j.out.progress.last,
		Rank:      j.rank,
		Shares:    t.grant.Shares,
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
			if b := t.relay.findUnavailable(&t.grant); b != nil {
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

// reportNotice records the notice that an answer carries about its endpoint. Own is false if
// the answer belongs to an earlier request on the same connection. A misdirected request was
// answered by another endpoint, so its notice is ignored.
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

// handleNoAnswer returns the result of an attempt that failed before the head of an answer
// arrived.
func (t *attempt) handleNoAnswer(err error, w *watch) result {
	var e *upstream.Error
	var unavailable *unavailableError
	if errors.As(err, &unavailable) {
		t.job.sends--
		t.relay.Metrics.add("places_declined")
		return result{
			outcome: pool.Unused,
			unsent:  true,
			culprit: unavailable.endpoint,
			reason:  unavailable.Error(),
		}
	}
	if errors.As(err, &e) && !e.Sent {
		t.job.sends--
		if errors.Is(err, tcp.ErrNoPath) {
			return result{
				outcome: pool.Unused,
				noPath:  true,
				reason:  tcp.ErrNoPath.Error(),
			}
		}
		return result{
			outcome: pool.Unreachable,
			reason:  "endpoint can't be reached: " + e.Err.Error(),
		}
	}
	t.job.mayHaveRun = true
	return t.handleInterrupted(err, w)
}

// handleInterrupted returns the result of an attempt without a complete answer whose request may
// have reached the endpoint.
func (t *attempt) handleInterrupted(err error, w *watch) result {
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
	case t.job.out.callerGone():
		res.outcome = pool.Abandoned
		res.reason = "caller gone"
	case errors.Is(err, upstream.ErrUnbounded):
		// The endpoint still runs, so this is no crash.
		res.interrupted = true
		t.relay.Metrics.add("answers_unbounded")
	case errors.Is(err, wirehttp.ErrMalformedHead):
		// An endpoint that sends an answer still runs.
		res.interrupted = true
		t.relay.Metrics.add("answers_malformed")
	default:
		res.interrupted, res.connectionLost = true, true
	}
	return res
}

// handleAnswer forwards an answer to the caller, unless the endpoint did not run the request.
func (t *attempt) handleAnswer(x *upstream.Exchange, w *watch) result {
	j := t.job
	res := x.Response
	t.framing = wirehttp.FramingOf(res).String()
	head := t.relay.parts.Wire.Answer(res)
	if head.NotRun {
		return t.handleRejection(x, head)
	}
	j.mayHaveRun = true
	success := res.StatusCode >= http.StatusOK && res.StatusCode < http.StatusMultipleChoices
	if success && j.route.Kind == route.Streaming && isEventStream(res) {
		return t.relayStream(x, w)
	}
	return t.relayWhole(x, w, success)
}

// handleRejection returns the result of an attempt whose endpoint did not run the request.
func (t *attempt) handleRejection(x *upstream.Exchange, head AnswerHead) result {
	x.Discard(maxRejection, rejectionTime)
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

// Limits on reading the body of a rejection, after which the connection can be reused.
const (
	// maxRejection is in bytes.
	maxRejection = 64 << 10
	// rejectionTime is short, because the request waits to be sent elsewhere.
	rejectionTime = 50 * time.Millisecond
)

// recordFirstEvent reports the first event of a stream, or that another answer was read, to the
// placer. On streaming routes it also records the time in the metrics. Later calls do nothing.
func (t *attempt) recordFirstEvent() {
	if t.firstAfter > 0 {
		return
	}
	t.firstAfter = steady.Since(t.startedAt)
	t.relay.parts.Placer.FirstEvent(t.request.ID, t.request.Service)
	if t.job.route.Kind == route.Streaming {
		t.relay.Metrics.first.observe(steady.Since(t.job.arrived))
	}
}

// endpointToExclude returns, in a list of one, the id of the endpoint that must not get the
// request again: the one at fault if it took part in the attempt, else the one of the grant.
func (t *attempt) endpointToExclude(res result) []string {
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
