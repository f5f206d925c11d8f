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

// requestCrashes has a caller send a request again and again that crashes each endpoint which
// runs it, to one instance after the other.
const requestCrashes = "request crashes endpoints"

// The measures of requests that crash endpoints.
const (
	// crashBody begins their bodies; those of other requests have none of its letters.
	crashBody = "crash "
	// crashPause is between two tries.
	crashPause = 60 * time.Millisecond
	// crashAway is for how long an endpoint is away after a crash, and crashRetry how often
	// it tries to have its address again.
	crashAway  = 600 * time.Millisecond
	crashRetry = 10 * time.Millisecond
	// crashesKnown is after how many crashes a request must be kept from endpoints, crashKnownIn
	// how soon, and crashesMore how often it may be sent to one all the same: what operators
	// allow.
	crashesKnown = 3
	crashKnownIn = 3 * time.Second
	crashesMore  = 3
)

// fail changes what goes wrong with an endpoint. Requests that crash it always do.
func (e *endpoint) fail(f platformtest.EndpointFaults) {
	f.CrashPrefix = crashBody
	e.SetFaults(f)
}

// crash ends an endpoint and starts it again a moment later, under its name.
func (w *World) crash(e *endpoint) {
	e.proxy.Refuse()
	time.AfterFunc(crashAway, func() {
		for e.proxy.Accept() != nil {
			time.Sleep(crashRetry)
		}
		w.mu.Lock()
		e.born = time.Now()
		w.mu.Unlock()
		w.enter(e, false)
	})
}

// sendCrashing sends a request of its own for the time of a step, whose target draws its route.
func (w *World) sendCrashing(s Step) {
	c := &callers{
		world: w,
	}
	end := time.Now().Add(s.For + 2*crashKnownIn)
	for n := 0; time.Now().Before(end); n++ {
		x := Exchange{
			ID:       fmt.Sprintf("crash-%d-%d", s.At, n),
			Path:     paths[s.Target%len(paths)],
			Key:      steadyKey,
			Body:     fmt.Sprint(crashBody, s.At),
			Instance: n % len(w.processes),
		}
		client := &http.Client{
			Transport: &http.Transport{
				DisableKeepAlives: true,
			},
		}
		c.send(client, &x, 0, shortPrompt)
		w.mu.Lock()
		w.crashing = append(w.crashing, x)
		w.mu.Unlock()
		time.Sleep(crashPause)
	}
}

// sentCrashing returns the exchanges of requests that crash endpoints.
func (w *World) sentCrashing() []Exchange {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashing
}

// judgeCrashes checks that requests which crash endpoints reach few of them.
func (w *World) judgeCrashes() []Violation {
	runs := make(map[string][]time.Time)
	for _, e := range w.endpoints {
		for _, r := range e.Runs() {
			if strings.HasPrefix(r.Body, crashBody) {
				runs[r.Body] = append(runs[r.Body], r.At)
			}
		}
	}
	var out []Violation
	for body, at := range runs {
		if n := w.late(at); n > crashesMore {
			out = append(out, Violation{
				Promise: "a request that crashes endpoints reaches few",
				Detail:  fmt.Sprintf("%q ran %d times, %d of them %s after its third", body, len(at), n, crashKnownIn),
			})
		}
	}
	return out
}

// late returns how many runs of a request that crashes endpoints came later than instances may
// take to know that. All that they know is lost when all of them end in an outage of the
// store; they count anew after it.
func (w *World) late(runs []time.Time) int {
	slices.SortFunc(runs, time.Time.Compare)
	n, first := 0, 0
	for i, at := range runs {
		if i > 0 && w.allLost(runs[i-1], at) {
			first = i
		}
		if i-first >= crashesKnown && at.Sub(runs[first+crashesKnown-1]) > crashKnownIn {
			n++
		}
	}
	return n
}

// allLost states whether all instances ended in an outage of the store between two moments.
func (w *World) allLost(from, to time.Time) bool {
	return slices.ContainsFunc(w.played, func(p playedStep) bool {
		return p.step.Kind == "all lost in an outage" && p.began.Before(to) && p.ended().After(from)
	})
}
