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

// saysLeaving has an endpoint say in its answers that it leaves, while the store does not.
const saysLeaving = "endpoint says that it leaves"

// The statements of endpoints in the schedule.
const (
	// statedRate is the rate limit that they name, in requests a second.
	statedRate = 2
	// statedBackoff is for how long they want nothing.
	statedBackoff = time.Second
)

// statementFaults are the statements that an endpoint makes for the time of a step.
var statementFaults = map[string]platformtest.EndpointFaults{
	"endpoint names a limit":       {RateLimit: fmt.Sprint(statedRate)},
	"endpoint asks for a back-off": {Reject: true, RetryAfter: fmt.Sprint(statedBackoff.Seconds())},
	"endpoint says no number":      {RateLimit: "few", Reject: true, RetryAfter: "soon"},
}

// The bounds that operators state.
const (
	// leavingWithin is how soon after an answer that says that its endpoint leaves it must get
	// nothing new from the instance that got it.
	leavingWithin = 2 * time.Second
	// backoffGrace is how soon a back-off must be kept, and backoffMost how many requests may come in it.
	backoffGrace = 500 * time.Millisecond
	backoffMost  = 2
	// limitGrace is how soon a rate limit must be kept. In limitWindow limitFactor times what it
	// allows may come, and limitSlack more.
	limitGrace  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// DrawStatements returns the statements of endpoints that come beside the schedule of a seed.
func DrawStatements(seed uint64, length time.Duration) []Step {
	kinds := append(slices.Sorted(maps.Keys(statementFaults)), saysLeaving)
	r := rand.New(rand.NewPCG(seed, 2))
	var out []Step
	for at := firstStep; at < length; at += time.Duration(r.ExpFloat64() * float64(2*meanPause)) {
		out = append(out, Step{
			At:     at,
			For:    time.Duration(2*leastMS+r.IntN(2*spreadMS)) * time.Millisecond,
			Kind:   kinds[r.IntN(len(kinds))],
			Target: r.IntN(engines + services),
		})
	}
	return out
}

// leaveByAnswers has an endpoint say in its answers alone that it leaves, for a time, and start
// again under another name.
func (w *World) leaveByAnswers(e *endpoint, lasts time.Duration) {
	e.fail(platformtest.EndpointFaults{
		Leaving: true,
	})
	time.Sleep(lasts)
	// Its next start does not say it.
	e.fail(platformtest.EndpointFaults{})
	w.leave(e, 0)
}

// arrival is a request at an endpoint, with the instance that sent it.
type arrival struct {
	platformtest.Arrival
	instance int
}

// judgeStatements checks that endpoints got what they said that they take. Instances that were
// disturbed meanwhile are excused.
func (w *World) judgeStatements(sent map[string]*Exchange) []Violation {
	var out []Violation
	for _, e := range w.endpoints {
		var all []arrival
		for _, a := range e.Arrivals() {
			if x := sent[a.ID]; x != nil {
				all = append(all, arrival{
					Arrival:  a,
					instance: x.Instance,
				})
			}
		}
		out = slices.Concat(out, w.judgeToldLeaving(e, all), w.judgeBackoffs(e, all), w.judgeLimits(e, all))
	}
	return out
}

// judgeToldLeaving checks that an endpoint got nothing from instances that its answers had told
// that it leaves.
func (w *World) judgeToldLeaving(e *endpoint, all []arrival) []Violation {
	var out []Violation
	told := make(map[int]time.Time)
	for _, a := range all {
		if !a.Faults.Leaving {
			continue
		}
		first, known := told[a.instance]
		if !known || a.At.Sub(first) > saysLeavingMost {
			told[a.instance] = a.At
			continue
		}
		late := a.At.Sub(first.Add(answerWithin + leavingWithin + runSlack))
		if late > 0 && !w.excused(a.instance, e, first, a.At) {
			out = append(out, Violation{
				Promise: "an endpoint that says that it leaves gets nothing new",
				Detail: fmt.Sprintf("request %s of instance %d came to %s %s after the bound", a.ID, a.instance,
					e.Name(), late.Round(time.Millisecond)),
			})
		}
	}
	return out
}

// The measures of telling answers apart.
const (
	// saysLeavingMost is longer than an endpoint says that it leaves.
	saysLeavingMost = 2 * (2*leastMS + 2*spreadMS) * time.Millisecond
	// answerWithin is how long the head of an answer may take.
	answerWithin = time.Second
)

// judgeBackoffs checks that an endpoint that asked an instance for a back-off got two requests of it at most
// meanwhile.
func (w *World) judgeBackoffs(e *endpoint, all []arrival) []Violation {
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
		if in > backoffMost && !w.excused(asked.instance, e, asked.At, end) {
			out = append(out, Violation{
				Promise: "an endpoint that asks for a back-off has it",
				Detail:  fmt.Sprintf("%d requests of instance %d came to %s within its back-off from %s on", in, asked.instance, e.Name(), asked.At.Format("15:04:05.000")),
			})
		}
	}
	return out
}

// judgeLimits checks that an endpoint that names a rate limit got no more than that allows from
// all instances together.
func (w *World) judgeLimits(e *endpoint, all []arrival) []Violation {
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
			if a.At.After(last.At.Add(-limitWindow)) && !a.At.Before(since) && !w.excused(a.instance, e, since, last.At) {
				in++
			}
		}
		if allowed := limitFactor*statedRate*limitWindow.Seconds() + limitSlack; float64(in) > allowed {
			out = append(out, Violation{
				Promise: "an endpoint gets no more than the limit that it names",
				Detail:  fmt.Sprintf("%d requests came to %s in %s up to %s, %.0f allowed", in, e.Name(), limitWindow, last.At.Format("15:04:05.000"), allowed),
			})
		}
	}
	return out
}

// excused states whether, between two moments, an instance was stopped, killed or frozen, or the
// link before an endpoint failed.
func (w *World) excused(instance int, e *endpoint, from, to time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.played {
		if p.ended().Add(excusedAfter).Before(from) || p.began.After(to) {
			continue
		}
		_, link := endpointLinks[p.step.Kind]
		link = link || p.step.Kind == endpointsSilent
		switch {
		case link && w.endpoints[p.step.Target%len(w.endpoints)] == e:
			return true
		case p.step.Kind == "all lost in an outage":
			return true
		case p.step.Target%len(w.processes) != instance:
		case p.step.Kind == "term" || p.step.Kind == "kill" || p.step.Kind == "freeze":
			return true
		}
	}
	return false
}

// excusedAfter is how long a fault excuses an instance after it has ended: until a process has
// stopped in its grace and started again, or a frozen one has read what came meanwhile.
const excusedAfter = 2 * time.Second

// merge returns two schedules as one.
func merge(a, b []Step) []Step {
	return slices.SortedStableFunc(slices.Values(slices.Concat(a, b)), func(x, y Step) int { return cmp.Compare(x.At, y.At) })
}
