// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/internal/upstream"
	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/pool"
)

// maxWhole is the size, in bytes, up to which an answer is buffered before it is forwarded, so
// that an interrupted one can be retried.
const maxWhole = 1 << 20

// maxUnstated is the maximum size, in bytes, of an answer that doesn't state its length. One that
// does not end is thereby cut off long before the request's deadline.
const maxUnstated = 64 << 20

// relayWhole forwards an answer that is not a stream. Success states that its status is 2xx.
func (t *attempt) relayWhole(x *upstream.Exchange, w *watch, success bool) result {
	j := t.job
	data, err := io.ReadAll(io.LimitReader(x.Response.Body, maxWhole+1))
	if err != nil {
		return t.handleInterrupted(err, w)
	}
	if j.out.headSent {
		// Only another stream can continue a stream.
		return result{
			outcome: pool.Failed,
			status:  x.Response.StatusCode,
			reason:  "no stream to continue with",
		}
	}
	if x.Response.StatusCode >= http.StatusInternalServerError && len(data) <= maxWhole && j.mayRetry() {
		return t.keepFailure(x, data)
	}
	if len(data) > maxWhole && t.unexpectedlyLarge(x) && j.mayRetry() {
		// The endpoint is not to blame if the answer has an end.
		res := t.handleInterrupted(errors.Wrap(upstream.ErrUnbounded, "body"), w)
		res.outcome = pool.Abandoned
		return res
	}
	r := result{
		outcome:  pool.Served,
		answered: true,
		status:   x.Response.StatusCode,
	}
	if !success {
		r.outcome = pool.Failed
		r.reason = "endpoint's own failure"
	}
	if len(data) <= maxWhole {
		if err := t.verifyEnd(x); err != nil {
			t.relay.Metrics.add("answers_incomplete")
			return t.handleInterrupted(err, w)
		}
		t.recordFirstEvent()
		x.MarkComplete()
		j.out.send(x.Response, data)
		return r
	}
	t.recordFirstEvent()
	return t.relayLarge(x, data, r)
}

// keepFailure keeps an endpoint's own error answer in case all other attempts fail.
func (t *attempt) keepFailure(x *upstream.Exchange, data []byte) result {
	x.MarkComplete()
	t.job.failure = &failure{
		response: x.Response,
		body:     data,
	}
	return result{
		outcome: pool.Failed,
		status:  x.Response.StatusCode,
		reason:  "endpoint failed the request",
	}
}

// mayRetry reports whether a request may be sent to another endpoint after one ran it and
// failed.
func (j *job) mayRetry() bool {
	return j.route.Idempotent() && j.attemptsLeft() > 0 && j.left() > retryLeft
}

// failure is an endpoint's own error answer.
type failure struct {
	response *http.Response
	body     []byte
}

// retryLeft is the least remaining time for which a retry is worthwhile.
const retryLeft = 100 * time.Millisecond

// unexpectedlyLarge reports whether a large answer may have no end: it doesn't state its length, and
// no large answer on its route has been complete so far.
func (t *attempt) unexpectedlyLarge(x *upstream.Exchange) bool {
	return wirehttp.FramingOf(x.Response) != wirehttp.ByLength && !t.relay.largeAnswers.contains(t.job.route.Name)
}

// relayLarge forwards an answer that is too large to buffer. If the answer is interrupted, the
// request can't be retried, because the caller already has a part of the answer.
func (t *attempt) relayLarge(x *upstream.Exchange, begin []byte, r result) result {
	out := t.job.out
	out.sendHead(x.Response, x.Response.ContentLength)
	out.write(begin)
	err := copyRest(out.w, x.Response, int64(len(begin)))
	if err == nil {
		err = t.verifyEnd(x)
	}
	if err != nil {
		if errors.Is(err, upstream.ErrUnbounded) {
			t.relay.Metrics.add("answers_unbounded")
		}
		r.answered = false
		r.outcome = pool.Failed
		r.connectionLost = !out.callerGone() && !errors.Is(err, upstream.ErrUnbounded)
		r.reason = "large answer broke off: " + err.Error()
		t.job.disallowRetries()
		return r
	}
	x.MarkComplete()
	t.relay.largeAnswers.add(t.job.route.Name)
	return r
}

// copyRest copies the body of a response, of which some bytes have been read, to its end. It returns
// ErrUnbounded if the body doesn't state its length and exceeds maxUnstated.
func copyRest(w io.Writer, res *http.Response, read int64) error {
	if wirehttp.FramingOf(res) == wirehttp.ByLength {
		_, err := io.Copy(w, res.Body)
		return err
	}
	rest := maxUnstated - read
	n, err := io.Copy(w, io.LimitReader(res.Body, rest+1))
	if err == nil && n > rest {
		err = errors.Wrap(upstream.ErrUnbounded, "body")
	}
	return err
}

// disallowRetries uses up the route's number of attempts.
func (j *job) disallowRetries() {
	j.sends = max(j.sends, j.route.MaxAttempts)
}
