// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"net/http"
	"strings"
	"time"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/quarantine"
	"github.com/linkmast/linkmast/route"
)

// job is one request on its way.
type job struct {
	head     RequestHead
	route    *route.Route
	table    *route.Table
	customer string
	rank     int
	service  string
	method   string
	target   string
	host     string
	header   http.Header
	body     []byte
	arrived  time.Time
	deadline time.Time
	// spent is how long before it arrived its caller first asked; zero at a first
	// try, and when that is not known.
	spent time.Duration
	// requiresKey states that the request needs a key.
	requiresKey bool

	// history has its identity, which is the same for all tries of the request, at any instance,
	// and what its attempts showed.
	history quarantine.RequestHistory
	// singleEndpoint states that it may run at one endpoint only, whatever its route says.
	singleEndpoint bool
	// sends counts the endpoints that the request was sent to.
	sends int
	// mayHaveRun states that one of them may have run it.
	mayHaveRun bool
	// exclude are the endpoints that failed the request.
	exclude []string
	// out is the caller's side of the answer.
	out *answer
	// next is a place that was found for the next attempt.
	next *nextPlacement
	// failure is an endpoint's own failure, for when no other can be had.
	failure *failure
}

// admit checks a request against the configuration in force and reads it.
func (l *Relay) admit(h RequestHead, r *http.Request, arrived time.Time) (*job, *refusal) {
	firstTry, returning := l.timeouts.observe(h.Wait)
	snapshot := l.awaitConfiguration(r.Context(), h.Wait, firstTry)
	if snapshot == nil {
		return nil, unavailable("no configuration yet", l.retryAfterOutage(h.Wait))
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	rt := snapshot.Table.Match(r.Host, path)
	if rt == nil {
		return l.refuseUnknown("no route", http.StatusNotFound, h, snapshot.Table)
	}
	j := newJob(h, r, rt, snapshot.Table, arrived)
	if returning {
		j.spent = timeSpent(h.Wait, rt)
	}
	if j.requiresKey {
		if late := l.tooOldForKeys(h.Wait); late != nil {
			return nil, late
		}
		c, ok := snapshot.Table.Customer(h.Key)
		if !ok {
			return l.refuseUnknown("unknown key", http.StatusUnauthorized, h, snapshot.Table)
		}
		j.customer, j.rank = c.ID, c.Rank
	}
	j.header = forwardedHeader(r.Header)
	j.deadline = arrived.Add(timeLimit(h.Wait, rt))
	if ref := j.read(r); ref != nil {
		return nil, ref
	}
	j.history = quarantine.RequestHistory{
		Identity: quarantine.Identify(j.target, j.customer, j.body),
		Request:  h.ID,
	}
	return j, nil
}

// newJob returns a request on its way by a route.
func newJob(h RequestHead, r *http.Request, rt *route.Route, t *route.Table, arrived time.Time) *job {
	return &job{
		head:        h,
		route:       rt,
		table:       t,
		rank:        rt.Rank,
		service:     rt.Service(h.ID),
		method:      r.Method,
		target:      r.RequestURI,
		host:        r.Host,
		arrived:     arrived,
		requiresKey: t.KeysRequired && !rt.Public,
	}
}

// firstTryTolerance is how much less than the route's time a caller may name at its
// first try.
const firstTryTolerance = 100 * time.Millisecond

// timeSpent returns how much less than the route's time a caller names: what it has spent
// already if it has come back. It is zero for one that names as much.
func timeSpent(wait time.Duration, rt *route.Route) time.Duration {
	if wait <= 0 || wait >= rt.Timeout-firstTryTolerance {
		return 0
	}
	return rt.Timeout - wait
}

// timeLimit returns the time that a request has on a route when its caller waits for
// so long; zero means that the caller does not say.
func timeLimit(wait time.Duration, rt *route.Route) time.Duration {
	if wait == 0 {
		wait = defaultWait
	}
	if rt.Timeout > 0 {
		wait = min(wait, rt.Timeout)
	}
	return wait
}

// refuseUnknown refuses a request that the configuration in force does not allow,
// unless that configuration is too old to say so.
func (l *Relay) refuseUnknown(reason string, status int, h RequestHead, t *route.Table) (*job, *refusal) {
	if late := l.tooOld(h.Wait); late != nil {
		return nil, late
	}
	l.parts.Log.Info("not allowed", "request", h.ID, "reason", reason, "version", t.Version, "status", status)
	return nil, &refusal{
		status: status,
		reason: reason,
	}
}

// attemptsLeft returns how many endpoints the request may still be sent to.
func (j *job) attemptsLeft() int {
	return j.route.MaxAttempts - j.sends
}

// left returns the time until the deadline.
func (j *job) left() time.Duration {
	return steady.Until(j.deadline)
}

// defaultWait is how long a caller is taken to wait that does not say.
const defaultWait = 30 * time.Second
