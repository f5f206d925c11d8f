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

// Violation is a promise that was broken.
type Violation struct {
	// Promise names it.
	Promise string
	// Detail says what was seen.
	Detail string
}

// String returns the violation in a line.
func (v Violation) String() string {
	return v.Promise + ": " + v.Detail
}

// runSlack is how long after the bound a run may begin that was sent in time: a
// request on its way.
const runSlack = 300 * time.Millisecond

// check holds what callers and endpoints saw against the promises.
func (w *World) check(history []Exchange) []Violation {
	runs := make(map[string][]platformtest.Run)
	sent := make(map[string]*Exchange, len(history))
	for i := range history {
		sent[history[i].ID] = &history[i]
	}
	var out []Violation
	for _, e := range w.endpoints {
		for _, r := range e.Runs() {
			runs[r.ID] = append(runs[r.ID], r)
			if x := sent[r.ID]; x != nil {
				if v, wrong := w.checkDrained(x, e, &r); wrong {
					out = append(out, v)
				}
			}
		}
	}
	for i := range history {
		x := &history[i]
		out = append(out, w.checkExchange(x, runs[x.ID])...)
	}
	for id := range runs {
		if sent[id] == nil {
			out = append(out, Violation{
				Promise: "only what callers sent runs",
				Detail:  "request " + id + " ran and was not sent",
			})
		}
	}
	return slices.Concat(out, w.checkCrashes(), w.checkStatements(sent), w.checkFinalState())
}

// checkExchange holds one exchange against the runs of its request.
func (w *World) checkExchange(x *Exchange, runs []platformtest.Run) []Violation {
	var out []Violation
	wrong := func(promise, detail string) {
		out = append(out, Violation{
			Promise: promise,
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
			wrong("refusals are true", "it ran though it was refused")
		}
	}
	if (x.Status == http.StatusUnauthorized || x.Status == http.StatusNotFound) && x.Key == steadyKey {
		wrong("what is allowed is not denied", "its key holds at all times")
	}
	if x.Status == http.StatusOK {
		checkAnswer(x, runs, wrong)
	}
	for i := range runs {
		w.checkRun(x, &runs[i], wrong)
		w.checkAbandoned(x, &runs[i], wrong)
	}
	return out
}

// checkAnswer checks a success.
func checkAnswer(x *Exchange, runs []platformtest.Run, wrong func(promise, detail string)) {
	want := x.expectedAnswer()
	switch {
	case x.Whole && x.Answer != want:
		wrong("whole and own answer", fmt.Sprintf("the answer is %q", x.Answer))
	case !x.Whole && !strings.HasPrefix(want, x.Answer):
		wrong("whole and own answer", fmt.Sprintf("the cut answer is %q", x.Answer))
	case !x.Signed || len(runs) == 0:
		wrong("whole and own answer", "no endpoint made it")
	}
}

// expectedAnswer returns what a whole answer to the request is.
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

// checkRun checks what an endpoint got.
func (w *World) checkRun(x *Exchange, r *platformtest.Run, wrong func(promise, detail string)) {
	switch {
	case r.Method != http.MethodPost || r.Target != x.Path || r.Body != x.Body:
		wrong("requests are passed on unchanged", fmt.Sprintf("%s %s with %d bytes", r.Method, r.Target, len(r.Body)))
	case r.Key() != "" || r.Customer() != customer:
		wrong("keys stay here", fmt.Sprintf("customer %q, key %q", r.Customer(), r.Key()))
	}
	if gone := w.revokedAt(x.Key); !gone.IsZero() && x.Sent.After(w.refusedFrom(gone)) {
		wrong("keys that were taken away are refused", fmt.Sprintf("taken away %s before", x.Sent.Sub(gone)))
	}
	if r.At.After(x.Sent.Add(requestTimeout + runSlack)) {
		wrong("nothing runs after its time", fmt.Sprintf("ran %s after it was sent", r.At.Sub(x.Sent)))
	}
}

// revokedAt returns when a key was taken away; zero for one that was not.
func (w *World) revokedAt(key string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.keys[key]
}

// refusedFrom returns from when on a key must be refused that was taken away at a
// moment. Where the operator is not strict, an instance out of touch may serve it until
// the faults are over.
func (w *World) refusedFrom(gone time.Time) time.Time {
	from := gone.Add(revoke)
	if !w.strict && from.Before(w.recovered) {
		return w.recovered
	}
	return from
}
