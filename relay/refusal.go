// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"net/http"
	"time"
)

// refusal is an error answer of the relay itself.
type refusal struct {
	status int
	// reason is the body of the answer.
	reason string
	// after is when the caller may retry; zero sets no time.
	after time.Duration
}

// defaultRetryAfter is when a caller may retry after a refusal that names no time, because the
// instance usually knows of other endpoints by then.
const defaultRetryAfter = 300 * time.Millisecond

// serviceUnavailable returns a refusal with status 503, for a request that did not run.
func serviceUnavailable(reason string, after time.Duration) *refusal {
	return &refusal{
		status: http.StatusServiceUnavailable,
		reason: reason,
		after:  after,
	}
}

// refuse sends and logs a refusal.
func (l *Relay) refuse(w http.ResponseWriter, h RequestHead, r *refusal) {
	l.Metrics.refused(r.status)
	version := int64(0)
	if known := l.parts.Snapshot(); known != nil {
		version = known.Table.Version
	}
	age, _ := l.parts.Age()
	l.parts.Log.Info("refused", "request", h.ID, "status", r.status, "reason", r.reason,
		"after_ms", r.after.Milliseconds(), "version", version, "age_ms", age.Milliseconds())
	l.parts.Wire.Refusal(w.Header(), h.ID, r.after)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(r.status)
	// A failed write means that the caller has disconnected.
	_, _ = w.Write([]byte(r.reason + "\n"))
}

// giveUp returns the refusal of a request that no endpoint answered: 503 if it did not run, 504
// if its time is over, else 502.
func (j *job) giveUp(reason string, after time.Duration) *refusal {
	switch {
	case !j.mayHaveRun:
		return serviceUnavailable(reason, after)
	case j.left() <= 0:
		return &refusal{
			status: http.StatusGatewayTimeout,
			reason: reason,
		}
	}
	return &refusal{
		status: http.StatusBadGateway,
		reason: reason,
	}
}
