// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/linkmast/linkmast/platform/platformtest"
)

// saysLeaving makes an endpoint announce in its responses that it leaves, while its entry in
// the store does not say so.
const saysLeaving = "endpoint says that it leaves"

// Values that endpoints announce.
const (
	// statedRate is the announced rate limit in requests per second.
	statedRate = 2
	// statedBackoff is the announced back-off.
	statedBackoff = time.Second
)

// statementFaults maps kinds of faults to the settings of a stand-in endpoint that make it
// announce something in its responses.
var statementFaults = map[string]platformtest.EndpointFaults{
	"endpoint names a limit":       {RateLimit: fmt.Sprint(statedRate)},
	"endpoint asks for a back-off": {Reject: true, RetryAfter: fmt.Sprint(statedBackoff.Seconds())},
	"endpoint says no number":      {RateLimit: "few", Reject: true, RetryAfter: "soon"},
}

// Tolerances of the checks.
const (
	// leavingWithin bounds how long an instance may still send requests to an endpoint after it
	// has received a response in which the endpoint announces that it leaves.
	leavingWithin = 2 * time.Second
	// backoffGrace is the time after the announcement of a back-off in which any number of
	// requests is tolerated, and maxBackoffRequests the number tolerated in the rest of the
	// back-off.
	backoffGrace       = 500 * time.Millisecond
	maxBackoffRequests = 2
	// limitGrace is the time after the first announcement of a rate limit in which any rate is
	// tolerated. After it, each period of length limitWindow may contain limitFactor times the
	// requests that the limit allows, plus limitSlack.
	limitGrace  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// DrawStatements returns the faults of a seed that make endpoints announce something in their
// responses.
func DrawStatements(seed uint64, length time.Duration) []Fault {
	kinds := append(slices.Sorted(maps.Keys(statementFaults)), saysLeaving)
	r := rand.New(rand.NewPCG(seed, 2))
	var out []Fault
	for at := firstFault; at < length; at += time.Duration(r.ExpFloat64() * float64(2*meanPause)) {
		out = append(out, Fault{
			At:     at,
			For:    time.Duration(2*minDurationMS+r.IntN(2*durationSpreadMS)) * time.Millisecond,
			Kind:   kinds[r.IntN(len(kinds))],
			Target: r.IntN(engines + services),
		})
	}
	return out
}

// leaveByAnswers makes an endpoint announce in its responses, but not in the store, that it
// leaves, and restarts it under another name after the given time.
func (d *Deployment) leaveByAnswers(e *endpoint, lasts time.Duration) {
	e.setFaults(platformtest.EndpointFaults{
		Leaving: true,
	})
	time.Sleep(lasts)
	// The next incarnation does not announce that it leaves.
	e.setFaults(platformtest.EndpointFaults{})
	d.leave(e, 0)
}

// arrival is a request that arrived at an endpoint, with the index of the instance that sent
// it.
type arrival struct {
	platformtest.Arrival
	instance int
}

// checkStatements checks that instances respect what endpoints announce in their responses. The
// map sent holds the exchanges of callers by request ID. Instances that were affected by other
// faults at the time are excused.
func (d *Deployment) checkStatements(sent map[string]*Exchange) []Violation {
	var out []Violation
	for _, e := range d.endpoints {
		var all []arrival
		for _, a := range e.Arrivals() {
			if x := sent[a.ID]; x != nil {
				all = append(all, arrival{
					Arrival:  a,
					instance: x.Instance,
				})
			}
		}
		out = slices.Concat(out, d.checkLeaving(e, all), d.checkBackoffs(e, all), d.checkLimits(e, all))
	}
	return out
}

// checkLeaving checks that an instance stops sending requests to an endpoint soon after the
// endpoint has announced to this instance that it leaves.
func (d *Deployment) checkLeaving(e *endpoint, all []arrival) []Violation {
	var out []Violation
	announced := make(map[int]time.Time)
	for _, a := range all {
		if !a.Faults.Leaving {
			// The endpoint has restarted, so a later announcement belongs to another period.
			clear(announced)
			continue
		}
		first, known := announced[a.instance]
		if !known || a.At.Sub(first) > maxLeavingPeriod {
			announced[a.instance] = a.At
			continue
		}
		late := a.At.Sub(first.Add(answerWithin + leavingWithin + runSlack))
		if late > 0 && !d.excused(a.instance, e, first, a.At) {
			out = append(out, Violation{
				Guarantee: "leaving endpoints get no new requests",
				Detail: fmt.Sprintf("request %s of instance %d reached endpoint %s, %s after the bound", a.ID, a.instance,
					e.Name(), late.Round(time.Millisecond)),
			})
		}
	}
	return out
}

// Times for the check of announcements of leaving.
const (
	// maxLeavingPeriod is longer than any period in which an endpoint announces its leaving. A
	// later announcement belongs to another period, even if no request arrived in between.
	maxLeavingPeriod = 2 * (2*minDurationMS + 2*durationSpreadMS) * time.Millisecond
	// answerWithin bounds the time until the instance has received the header of a response.
	answerWithin = time.Second
)

// checkBackoffs checks that an instance sends an endpoint at most maxBackoffRequests requests in
// the part of an announced back-off that follows backoffGrace.
func (d *Deployment) checkBackoffs(e *endpoint, all []arrival) []Violation {
	var out []Violation
	for i, asked := range all {
		if !asked.Faults.Reject || asked.Faults.RetryAfter != statementFaults["endpoint asks for a back-off"].RetryAfter {
			continue
		}
		end := asked.At.Add(statedBackoff)
		in := 0
		for _, a := range all[i+1:] {
			if a.instance == asked.instance && a.At.After(asked.At.Add(backoffGrace)) && a.At.Before(end) {
				in++
			}
		}
		if in > maxBackoffRequests && !d.excused(asked.instance, e, asked.At, end) {
			out = append(out, Violation{
				Guarantee: "back-offs of endpoints are respected",
				Detail:    fmt.Sprintf("%d requests of instance %d reached endpoint %s within its back-off that began at %s", in, asked.instance, e.Name(), asked.At.Format("15:04:05.000")),
			})
		}
	}
	return out
}

// checkLimits checks that all instances together respect a rate limit that an endpoint
// announces.
func (d *Deployment) checkLimits(e *endpoint, all []arrival) []Violation {
	limited := func(a arrival) bool { return a.Faults.RateLimit == fmt.Sprint(statedRate) }
	var out []Violation
	since := time.Time{}
	for i, last := range all {
		if !limited(last) {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = last.At
		}
		if last.At.Before(since.Add(limitGrace)) {
			continue
		}
		in := 0
		for _, a := range all[:i+1] {
			if a.At.After(last.At.Add(-limitWindow)) && !a.At.Before(since) && !d.excused(a.instance, e, since, last.At) {
				in++
			}
		}
		if allowed := limitFactor*statedRate*limitWindow.Seconds() + limitSlack; float64(in) > allowed {
			out = append(out, Violation{
				Guarantee: "rate limits of endpoints are respected",
				Detail:    fmt.Sprintf("%d requests reached endpoint %s in the %s until %s, %.0f allowed", in, e.Name(), limitWindow, last.At.Format("15:04:05.000"), allowed),
			})
		}
	}
	return out
}

// excused reports whether an instance need not respect the announcements of an endpoint between
// two times. This is so if, between them or at most excuseSlack before, the instance was
// terminated, killed or frozen, all instances were lost in an outage of the store, or the link to
// the endpoint was faulty.
func (d *Deployment) excused(instance int, e *endpoint, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.played {
		if p.ended().Add(excuseSlack).Before(from) || p.began.After(to) {
			continue
		}
		_, link := endpointLinks[p.fault.Kind]
		link = link || p.fault.Kind == endpointsSilent
		switch {
		case link && d.endpoints[p.fault.Target%len(d.endpoints)] == e:
			return true
		case p.fault.Kind == "all lost in an outage":
			return true
		case p.fault.Target%len(d.processes) != instance:
		case p.fault.Kind == "term" || p.fault.Kind == "kill" || p.fault.Kind == "freeze":
			return true
		}
	}
	return false
}

// excuseSlack is how long an instance is excused after the end of a fault, while it restarts or
// processes the messages that arrived while it was frozen.
const excuseSlack = 2 * time.Second

// merge merges two schedules by the times at which their faults begin.
func merge(a, b []Fault) []Fault {
	return slices.SortedStableFunc(slices.Values(slices.Concat(a, b)), func(x, y Fault) int { return cmp.Compare(x.At, y.At) })
}
