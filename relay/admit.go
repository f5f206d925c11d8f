// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/quarantine"
	"github.com/linkmast/linkmast/route"
)

// job holds the state of one request while the relay serves it.
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
	// bodyHeld is the part of the memory for bodies that the body takes, in bytes.
	bodyHeld int64
	arrived  time.Time
	deadline time.Time
	// spent is the time between the caller's first try and the arrival of this one; zero for a
	// first try or if unknown.
	spent time.Duration
	// requiresKey states that the route accepts only requests with a customer's key.
	requiresKey bool
	// chunks states that the caller's version of HTTP has chunks.
	chunks bool

	// history holds the request's identity, which is the same for all its tries at any
	// instance, and its failed attempts.
	history quarantine.RequestHistory
	// singleEndpoint states that only one endpoint may run the request, even on an idempotent
	// route, because its identity was banned and may still crash endpoints.
	singleEndpoint bool
	// sends counts the attempts that may have reached an endpoint.
	sends int
	// counted states that a placement of the request was asked for before.
	counted bool
	// noPaths counts the attempts without a path to endpoints.
	noPaths int
	// mayHaveRun states that an endpoint may have run the request.
	mayHaveRun bool
	// exclude lists the ids of the endpoints that must not get this request, because an attempt
	// failed at them or they were unavailable. They may get other requests.
	exclude []string
	// out writes the answer to the caller.
	out *answer
	// next is the placement for the next attempt, if one was found during the last.
	next *nextPlacement
	// failure is an endpoint's own error answer. The caller gets it if no other attempt
	// succeeds.
	failure *failure
}

// admit matches a request to a route and customer and reads its body.
func (l *Relay) admit(w http.ResponseWriter, h RequestHead, r *http.Request, arrived time.Time) (*job, *refusal) {
	firstTry, returning := l.timeouts.observe(h.Wait)
	known := l.awaitConfiguration(r.Context(), h.Wait, firstTry)
	if known.snapshot == nil {
		return nil, serviceUnavailable("no configuration yet", l.retryAfterOutage(h.Wait))
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	table := known.snapshot.Table
	rt := table.Match(r.Host, path)
	if rt == nil {
		return l.refuseUnknown("no route", http.StatusNotFound, h, known)
	}
	j := newJob(h, r, rt, table, arrived)
	if returning {
		j.spent = timeSpent(h.Wait, rt)
	}
	if j.requiresKey {
		if late := l.tooOldForKeys(known, h.Wait); late != nil {
			return nil, late
		}
		c, ok := table.Customer(h.Key)
		if !ok {
			return l.refuseUnknown("unknown key", http.StatusUnauthorized, h, known)
		}
		j.customer, j.rank = c.ID, c.Rank
	}
	j.header = forwardedHeader(r.Header)
	j.deadline = arrived.Add(timeLimit(h.Wait, rt))
	ctx, stop := l.sendContext(r.Context(), j)
	defer stop()
	if ref := j.readInTime(ctx, w, r, &l.bodies); ref != nil {
		j.releaseBody(&l.bodies)
		return nil, ref
	}
	j.history = quarantine.RequestHistory{
		Identity: quarantine.Identify(j.target, j.customer, j.body),
		Parts:    partIdentities(j.service, h.Parts),
		Request:  h.ID,
	}
	return j, nil
}

// partIdentities returns the identities of the parts of a prompt, each once.
func partIdentities(service string, ids []string) []quarantine.Identity {
	var out []quarantine.Identity
	for _, id := range ids {
		if part := quarantine.IdentifyPart(service, id); !slices.Contains(out, part) {
			out = append(out, part)
		}
	}
	return out
}

// newJob returns the job of a request on route rt.
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
		chunks:      r.ProtoAtLeast(1, 1),
	}
}

// firstTryTolerance is how far below the route's timeout a caller's timeout may be at its first
// try.
const firstTryTolerance = 100 * time.Millisecond

// timeSpent returns how far a returning caller's timeout is below the route's timeout, which is
// taken as the time it has already spent. It returns zero if the caller sends no timeout, or
// one that is above the route's timeout or at most firstTryTolerance below it.
func timeSpent(wait time.Duration, rt *route.Route) time.Duration {
	if wait <= 0 || wait >= rt.Timeout-firstTryTolerance {
		return 0
	}
	return rt.Timeout - wait
}

// timeLimit returns the time that a request has in total: the caller's timeout, or defaultWait
// if it sends none, bounded by the route's timeout.
func timeLimit(wait time.Duration, rt *route.Route) time.Duration {
	if wait == 0 {
		wait = defaultWait
	}
	if rt.Timeout > 0 {
		wait = min(wait, rt.Timeout)
	}
	return wait
}

// refuseUnknown refuses a request whose route or key the configuration does not contain. If the
// configuration is too old to be sure of that, the answer is 503.
func (l *Relay) refuseUnknown(reason string, status int, h RequestHead, known configuration) (*job, *refusal) {
	if late := l.tooOld(known, h.Wait); late != nil {
		return nil, late
	}
	l.parts.Log.Info("not allowed", "request", h.ID, "reason", reason, "version", known.snapshot.Table.Version, "status", status)
	return nil, &refusal{
		status: status,
		reason: reason,
	}
}

// attemptsLeft returns how many more attempts the route allows for the request.
func (j *job) attemptsLeft() int {
	return j.route.MaxAttempts - j.sends
}

// left returns the time until the deadline.
func (j *job) left() time.Duration {
	return steady.Until(j.deadline)
}

// defaultWait is the timeout of a caller that sends none.
const defaultWait = 30 * time.Second
