// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/linkmast/linkmast/platform/platformtest"
)

// Violation describes an observation that contradicts a guarantee of the system.
type Violation struct {
	// Guarantee is the text of the guarantee.
	Guarantee string
	// Detail describes the observation.
	Detail string
}

// String formats the violation as one line.
func (v Violation) String() string {
	return v.Guarantee + ": " + v.Detail
}

// runSlack is how long after a time limit a run may begin, because its request may have been in
// transit.
const runSlack = 300 * time.Millisecond

// check checks the guarantees on the exchanges of the callers and the runs of the endpoints, and
// on the final state of the instances and endpoints. It does not check the recovery.
func (d *Deployment) check(history []Exchange) []Violation {
	runs := make(map[string][]platformtest.Run)
	sent := make(map[string]*Exchange, len(history))
	for i := range history {
		sent[history[i].ID] = &history[i]
	}
	var out []Violation
	for _, e := range d.endpoints {
		for _, r := range e.Runs() {
			runs[r.ID] = append(runs[r.ID], r)
			if x := sent[r.ID]; x != nil {
				if v, wrong := d.checkDrained(x, e, &r); wrong {
					out = append(out, v)
				}
			}
		}
	}
	for i := range history {
		x := &history[i]
		out = append(out, d.checkExchange(x, runs[x.ID])...)
	}
	for id := range runs {
		if sent[id] == nil {
			out = append(out, Violation{
				Guarantee: "endpoints run only requests of callers",
				Detail:    "request " + id + " ran but no caller sent it",
			})
		}
	}
	return slices.Concat(out, d.checkCrashes(), d.checkRetries(history), d.checkParts(history), d.checkStatements(sent), d.checkFinalState())
}

// checkExchange checks one exchange and the runs of its request.
func (d *Deployment) checkExchange(x *Exchange, runs []platformtest.Run) []Violation {
	var out []Violation
	wrong := func(guarantee, detail string) {
		out = append(out, Violation{
			Guarantee: guarantee,
			Detail: fmt.Sprintf("request %s %s at instance %d, sent %s, status %d, %d runs: %s",
				x.ID, x.Path, x.Instance, x.Sent.Format("15:04:05.000"), x.Status, len(runs), detail),
		})
	}
	once := x.Path == unsafePath || x.Path == oncePath
	if once && len(runs) > 1 {
		wrong("at most once", "it ran more than once")
	}
	if x.Status == http.StatusServiceUnavailable || x.Status == http.StatusTooManyRequests {
		if once && len(runs) > 0 {
			wrong("refused requests do not run", "it ran although it was refused")
		}
	}
	if (x.Status == http.StatusUnauthorized || x.Status == http.StatusNotFound) && x.Key == steadyKey {
		wrong("allowed requests are not denied", "its key is always valid")
	}
	if x.Status == http.StatusOK {
		checkAnswer(x, runs, wrong)
	}
	for i := range runs {
		d.checkRun(x, &runs[i], wrong)
		d.checkAbandoned(x, &runs[i], wrong)
	}
	return out
}

// checkAnswer checks the body and the origin of a successful answer.
func checkAnswer(x *Exchange, runs []platformtest.Run, wrong func(guarantee, detail string)) {
	want := x.expectedAnswer()
	switch {
	case x.Whole && x.Answer != want:
		wrong("answers are unaltered and belong to their requests", fmt.Sprintf("the complete answer is %q", x.Answer))
	case !x.Whole && !strings.HasPrefix(want, x.Answer):
		wrong("answers are unaltered and belong to their requests", fmt.Sprintf("the truncated answer is %q", x.Answer))
	case !x.Signed || len(runs) == 0:
		wrong("answers are unaltered and belong to their requests", "it is not signed or no endpoint ran the request")
	}
}

// expectedAnswer returns the complete answer to the request.
func (x *Exchange) expectedAnswer() string {
	if x.Path != streamPath && x.Path != oncePath {
		return platformtest.PlainAnswer(x.ID, []byte(x.Body))
	}
	var b strings.Builder
	for i := 1; i <= streamEvents; i++ {
		b.WriteString(platformtest.Event(x.ID, i))
	}
	return b.String()
}

// checkRun checks one run: the forwarded request, the customer, the validity of the key and
// the time of the run.
func (d *Deployment) checkRun(x *Exchange, r *platformtest.Run, wrong func(guarantee, detail string)) {
	switch {
	case r.Method != http.MethodPost || r.Target != x.Path || r.Body != x.Body:
		wrong("requests are forwarded unchanged", fmt.Sprintf("%s %s with %d bytes", r.Method, r.Target, len(r.Body)))
	case r.Key() != "" || r.Customer() != customer:
		wrong("endpoints receive the customer but not the key", fmt.Sprintf("customer %q, key %q", r.Customer(), r.Key()))
	}
	if revoked := d.revokedAt(x.Key); !revoked.IsZero() && x.Sent.After(d.refusedFrom(revoked)) {
		wrong("revoked keys are refused", fmt.Sprintf("its key was revoked %s before it was sent", x.Sent.Sub(revoked)))
	}
	if r.At.After(x.Sent.Add(requestTimeout + runSlack)) {
		wrong("no run begins after the deadline of its request", fmt.Sprintf("run began %s after the request was sent", r.At.Sub(x.Sent)))
	}
}

// revokedAt returns when a key was revoked; zero for a valid key.
func (d *Deployment) revokedAt(key string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.keys[key]
}

// refusedFrom returns the time from which a key that was revoked at the given time must be
// refused. Without strict revocation, this is d.recovered or later, because instances out of touch
// with the store may accept the key until the system has recovered.
func (d *Deployment) refusedFrom(revoked time.Time) time.Time {
	from := revoked.Add(revoke)
	if !d.strict && from.Before(d.recovered) {
		return d.recovered
	}
	return from
}
