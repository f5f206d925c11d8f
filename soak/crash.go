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

// requestCrashes repeatedly sends a request that crashes each endpoint that runs it, to the
// instances in turn.
const requestCrashes = "request crashes endpoints"

// Parameters of requests that crash endpoints.
const (
	// crashBody is the prefix of the bodies of requests that crash endpoints. Other bodies do not
	// have it.
	crashBody = "crash "
	// crashInterval is the pause between two sends.
	crashInterval = 60 * time.Millisecond
	// crashDowntime is how long an endpoint refuses connections after a crash, and listenRetry the
	// interval at which it then tries to listen on its address again.
	crashDowntime = 600 * time.Millisecond
	listenRetry   = 10 * time.Millisecond
	// crashesToDetect is the number of crashes after which the instances must stop sending a
	// request to endpoints. They must have stopped within detectWithin of the last of these
	// crashes; maxLateRuns later runs are tolerated.
	crashesToDetect = 3
	detectWithin    = 3 * time.Second
	maxLateRuns     = 3
)

// setFaults replaces the faults of an endpoint. In addition, the endpoint always crashes on
// requests whose bodies begin with crashBody, and an engine on prompts with a part that begins with
// crashPart.
func (e *endpoint) setFaults(f platformtest.EndpointFaults) {
	f.CrashPrefix = crashBody
	f.CrashPart = crashPart
	e.SetFaults(f)
}

// crash makes an endpoint refuse connections, and restarts it under its name after
// crashDowntime. Its open connections are reset, or closed in order if its answers are unframed. An
// endpoint that is down can't crash again.
func (d *Deployment) crash(e *endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.down {
		return
	}
	e.down = true
	if e.Faults().Unframed {
		e.proxy.End()
	} else {
		e.proxy.Refuse()
	}
	time.AfterFunc(crashDowntime, func() {
		for !d.resume(e) {
			time.Sleep(listenRetry)
		}
		d.writeEntry(e, false)
	})
}

// resume restarts an endpoint after a crash, and reports whether it could listen on its address.
func (d *Deployment) resume(e *endpoint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.proxy.Resume() != nil {
		return false
	}
	e.down, e.startedAt = false, time.Now()
	return true
}

// sendCrashing repeatedly sends a request that crashes endpoints, for the duration of a fault
// and 2*detectWithin beyond it. The fault's target selects the route.
func (d *Deployment) sendCrashing(s Fault) {
	c := &callers{
		deployment: d,
	}
	end := time.Now().Add(s.For + 2*detectWithin)
	for n := 0; time.Now().Before(end); n++ {
		x := Exchange{
			ID:       d.requestID(s.crashID(n)),
			Path:     paths[s.Target%len(paths)],
			Key:      steadyKey,
			Body:     s.crashBody(),
			Instance: n % len(d.processes),
		}
		client := &http.Client{
			Transport: &http.Transport{
				DisableKeepAlives: true,
			},
		}
		c.send(client, &x, 0, minShortPrompt)
		d.mu.Lock()
		d.crashSends = append(d.crashSends, x)
		d.mu.Unlock()
		time.Sleep(crashInterval)
	}
}

// crashID returns the name of the nth request that a fault sends. It differs between kinds of faults, as
// the first faults of all schedules begin at the same time.
func (s Fault) crashID(n int) string {
	if s.Kind == unframedCrash {
		return fmt.Sprintf("crash-unframed-%d-%d", s.At, n)
	}
	return fmt.Sprintf("crash-%d-%d", s.At, n)
}

// crashBody returns the body of the requests that a fault sends, which differs in the same way.
func (s Fault) crashBody() string {
	if s.Kind == unframedCrash {
		return fmt.Sprint(crashBody, "unframed ", s.At)
	}
	return fmt.Sprint(crashBody, s.At)
}

// crashExchanges returns the exchanges of requests that crash endpoints.
func (d *Deployment) crashExchanges() []Exchange {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashSends
}

// checkCrashes checks that each request that crashes endpoints runs at most maxLateRuns times
// after the instances must have detected it.
func (d *Deployment) checkCrashes() []Violation {
	runs := make(map[string][]time.Time)
	for _, e := range d.endpoints {
		for _, r := range e.Runs() {
			if strings.HasPrefix(r.Body, crashBody) {
				runs[r.Body] = append(runs[r.Body], r.At)
			}
		}
	}
	var out []Violation
	for body, at := range runs {
		if n := d.lateRuns(at); n > maxLateRuns {
			out = append(out, Violation{
				Guarantee: "requests that crash endpoints reach few endpoints",
				Detail:    fmt.Sprintf("%q ran %d times, %d of them more than %s after its third run", body, len(at), n, detectWithin),
			})
		}
	}
	return out
}

// lateRuns returns how many runs of a request began more than detectWithin after the start of its
// third run; each run crashes an endpoint. After each outage of the store in which all instances
// were lost, the first three runs are counted anew, because the instances have lost their records
// of crashes.
func (d *Deployment) lateRuns(runs []time.Time) int {
	slices.SortFunc(runs, time.Time.Compare)
	n, first := 0, 0
	for i, at := range runs {
		if i > 0 && d.lostAll(runs[i-1], at) {
			first = i
		}
		if i-first >= crashesToDetect && at.Sub(runs[first+crashesToDetect-1]) > detectWithin {
			n++
		}
	}
	return n
}

// lostAll reports whether all instances were killed in an outage of the store between two
// times.
func (d *Deployment) lostAll(from, to time.Time) bool {
	return slices.ContainsFunc(d.played, func(p playedFault) bool {
		return p.fault.Kind == "all lost in an outage" && p.began.Before(to) && p.ended().After(from)
	})
}
