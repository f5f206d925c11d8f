// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/route"
)

// job is one request on its way.
type job struct {
	head     Head
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
	// keyed states that the request needs a key.
	keyed bool

	// sends counts the endpoints that the request was sent to.
	sends int
	// ran states that one of them may have run it.
	ran bool
	// exclude are the endpoints that failed the request.
	exclude []string
	// out is the caller's side of the answer.
	out *answer
	// next is a place that was found for the next attempt.
	next *place
	// failure is an endpoint's own failure, for when no other can be had.
	failure *failure
}

// admit checks a request against the configuration in force and reads it.
func (l *Relay) admit(h Head, r *http.Request, arrived time.Time) (*job, *refusal) {
	known := l.awaitKnown(r.Context(), h.Wait)
	if known == nil {
		return nil, unavailable("no configuration yet", comeBack)
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	rt := known.Table.Match(r.Host, path)
	if rt == nil {
		return l.unknown("no route", http.StatusNotFound, h, known.Table)
	}
	j := newJob(h, r, rt, known.Table, arrived)
	if j.keyed {
		if late := l.tooOld(); late != nil {
			return nil, late
		}
		c, ok := known.Table.Customer(h.Key)
		if !ok {
			return l.unknown("unknown key", http.StatusUnauthorized, h, known.Table)
		}
		j.customer, j.rank = c.ID, c.Rank
	}
	j.header = passed(r.Header)
	j.deadline = arrived.Add(allowed(h.Wait, rt))
	if ref := j.read(r); ref != nil {
		return nil, ref
	}
	return j, nil
}

// The times of a request that comes to an instance that has just started.
const (
	// startWithin is how long it waits for the first configuration: instances know
	// one within half a second when the store answers, and a caller that is
	// refused may have no further try.
	startWithin = 600 * time.Millisecond
	// startPart divides the time that a caller waits into that which may go by
	// so, as a refused one needs time to come back.
	startPart = 4
	// startLook is how often it looks.
	startLook = 10 * time.Millisecond
)

// awaitKnown returns what is known, or nil when nothing is in time for a caller that
// waits for so long; zero means that it does not say. Without the age of the
// configuration it is not known whether keys hold.
func (l *Relay) awaitKnown(ctx context.Context, wait time.Duration) *catalog.Snapshot {
	within := startWithin
	if wait > 0 {
		within = min(within, wait/startPart)
	}
	late := time.Now().Add(within)
	for {
		known := l.parts.Known()
		if _, aged := l.parts.Age(); known != nil && aged || time.Now().After(late) {
			return known
		}
		select {
		case <-time.After(startLook):
		case <-ctx.Done():
			return known
		}
	}
}

// newJob returns a request on its way by a route.
func newJob(h Head, r *http.Request, rt *route.Route, t *route.Table, arrived time.Time) *job {
	return &job{
		head:    h,
		route:   rt,
		table:   t,
		rank:    rt.Rank,
		service: rt.Service(h.ID),
		method:  r.Method,
		target:  r.RequestURI,
		host:    r.Host,
		arrived: arrived,
		keyed:   t.Keyed && !rt.Public,
	}
}

// allowed returns the time that a request has on a route when its caller waits for
// so long; zero means that the caller does not say.
func allowed(wait time.Duration, rt *route.Route) time.Duration {
	if wait == 0 {
		wait = defaultWait
	}
	if rt.Timeout > 0 {
		wait = min(wait, rt.Timeout)
	}
	return wait
}

// unknown refuses a request that the configuration in force does not allow,
// unless that configuration is too old to say so.
func (l *Relay) unknown(reason string, status int, h Head, t *route.Table) (*job, *refusal) {
	if late := l.tooOld(); late != nil {
		return nil, late
	}
	l.parts.Log.Info("not allowed", "request", h.ID, "reason", reason, "version", t.Version, "status", status)
	return nil, &refusal{
		status: status,
		reason: reason,
	}
}

// tooOld returns a refusal when keys that were taken away may not be known.
func (l *Relay) tooOld() *refusal {
	if l.settings.MaxAge == 0 {
		return nil
	}
	age, known := l.parts.Age()
	if known && age < l.settings.MaxAge {
		return nil
	}
	return unavailable("configuration is too old", comeBack)
}

// comeBack is when a caller may come back to an instance that knows too little:
// by then it has asked the store again, and other instances may know more.
const comeBack = 300 * time.Millisecond

// maxDiscard bounds how much of a body that is too large is read, in bytes.
const maxDiscard = 8 << 20

// read reads the body. It returns a refusal when that is too large or cut short.
func (j *job) read(r *http.Request) *refusal {
	limit := j.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if r.ContentLength > limit {
		// A caller that still sends would not hear the answer.
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxDiscard))
		return tooLarge()
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return &refusal{
			status: http.StatusBadRequest,
			reason: "body is cut short",
		}
	}
	if int64(len(data)) > limit {
		return tooLarge()
	}
	j.body = data
	return nil
}

// tooLarge returns the refusal of a body above the bound.
func tooLarge() *refusal {
	return &refusal{
		status: http.StatusRequestEntityTooLarge,
		reason: "body is too large",
	}
}

// hopHeaders concern a single connection (RFC 9110, section 7.6.1).
var hopHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// passed returns the header that is passed on.
func passed(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// attemptsLeft returns how many endpoints the request may still be sent to.
func (j *job) attemptsLeft() int {
	return j.route.MaxAttempts - j.sends
}

// left returns the time until the deadline.
func (j *job) left() time.Duration {
	return time.Until(j.deadline)
}

// The bounds of requests where the configuration has none.
const (
	// defaultWait is how long a caller is taken to wait that does not say.
	defaultWait = 30 * time.Second
	// defaultMaxBody bounds a request's body, in bytes.
	defaultMaxBody = 16 << 20
)
