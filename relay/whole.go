// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"io"
	"net/http"
	"time"

	"github.com/linkmast/linkmast/internal/upstream"
	"github.com/linkmast/linkmast/pool"
)

// maxWhole is the size, in bytes, up to which an answer is read whole before it is
// passed on, so that one that breaks off can be replaced.
const maxWhole = 1 << 20

// relayWhole passes on an answer that is no stream. Success states that its status is
// one of success.
func (t *attempt) relayWhole(x *upstream.Exchange, w *watch, success bool) result {
	j := t.job
	data, err := io.ReadAll(io.LimitReader(x.Response.Body, maxWhole+1))
	if err != nil {
		return t.handleBroken(err, w)
	}
	if j.out.begun {
		// A stream is continued only by a stream.
		return result{
			outcome: pool.Failed,
			status:  x.Response.StatusCode,
			reason:  "no stream to continue with",
		}
	}
	if x.Response.StatusCode >= http.StatusInternalServerError && len(data) <= maxWhole && j.mayRetry() {
		return t.keepFailure(x, data)
	}
	r := result{
		outcome: pool.Served,
		final:   true,
		status:  x.Response.StatusCode,
	}
	if !success {
		r.outcome = pool.Failed
		r.reason = "endpoint's own failure"
	}
	t.recordFirstEvent()
	if len(data) <= maxWhole {
		x.MarkComplete()
		j.out.send(x.Response, data)
		return r
	}
	return t.relayLarge(x, data, r)
}

// keepFailure keeps an endpoint's own failure for when no other answer can be had.
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

// mayRetry states whether a request that an endpoint ran and failed may be sent to
// another one.
func (j *job) mayRetry() bool {
	return j.route.Idempotent() && j.attemptsLeft() > 0 && j.left() > retryLeft
}

// failure is an endpoint's answer that says that it failed.
type failure struct {
	response *http.Response
	body     []byte
}

// retryLeft is the time that a further attempt needs to make sense.
const retryLeft = 100 * time.Millisecond

// relayLarge passes on an answer that is too relayLarge to be held. One that breaks off ends
// the request, as its caller has the beginning.
func (t *attempt) relayLarge(x *upstream.Exchange, begin []byte, r result) result {
	out := t.job.out
	out.head(x.Response, x.Response.ContentLength)
	out.write(begin)
	if _, err := io.Copy(out.w, x.Response.Body); err != nil {
		r.final = false
		r.outcome = pool.Failed
		r.connectionLost = !out.gone()
		r.reason = "large answer broke off: " + err.Error()
		t.job.disallowRetries()
		return r
	}
	x.MarkComplete()
	return r
}

// disallowRetries makes the request end with this attempt.
func (j *job) disallowRetries() {
	j.sends = max(j.sends, j.route.MaxAttempts)
}
