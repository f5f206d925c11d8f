// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/linkmast/linkmast/platform/platformtest"
)

// retryBudget is the budget of retries in the settings of the instances: in each window, a service
// may receive ratio of its requests and extra more as retries.
type retryBudget struct {
	ratio  float64
	extra  int
	window time.Duration
}

// The budgets of runs without and with Settings.Retries.
var (
	wideBudget = retryBudget{
		ratio:  0.5,
		extra:  200,
		window: 10 * time.Second,
	}
	narrowBudget = retryBudget{
		ratio:  0.02,
		extra:  8,
		window: 10 * time.Second,
	}
)

// allowed returns how many retries may arrive in the window that ends at the given time. Of this
// window, the one before it and the one half a window earlier, that with the most requests counts.
// Sent must be sorted.
func (b *retryBudget) allowed(sent []time.Time, end time.Time) float64 {
	most := 0
	for _, earlier := range []time.Duration{0, b.window / 2, b.window} {
		most = max(most, countBetween(sent, end.Add(-earlier-b.window), end.Add(-earlier)))
	}
	return b.ratio*float64(most) + float64(b.extra)
}

// countBetween returns how many of the sorted times are after from and not after to.
func countBetween(times []time.Time, from, to time.Time) int {
	after := func(limit time.Time) int {
		i, _ := slices.BinarySearchFunc(times, limit, func(t, limit time.Time) int {
			if t.After(limit) {
				return 1
			}
			return -1
		})
		return i
	}
	return after(to) - after(from)
}

// retryPeak is the window in which a service received the most retries compared with its budget.
type retryPeak struct {
	service string
	retries int
	allowed float64
	end     time.Time
}

// String formats the peak for the report.
func (p *retryPeak) String() string {
	return fmt.Sprintf("%s received %d retries until %s, %.1f allowed", p.service, p.retries, p.end.Format("15:04:05.000"), p.allowed)
}

// checkRetries checks that no service received more retries in a window than the budget allows.
func (d *Deployment) checkRetries(history []Exchange) []Violation {
	var out []Violation
	for _, p := range d.retryPeaks(history) {
		if float64(p.retries) > p.allowed {
			out = append(out, Violation{
				Guarantee: "retries stay within their budget",
				Detail:    p.String(),
			})
		}
	}
	return out
}

// retryPeaks returns the peak of each service that received retries. Retries are the arrivals of a
// request at any endpoint after its first.
func (d *Deployment) retryPeaks(history []Exchange) []retryPeak {
	sent := make(map[string][]time.Time)
	for _, x := range history {
		service := serviceOf(x.Path)
		sent[service] = append(sent[service], x.Sent)
	}
	arrivals := make(map[string]map[string][]time.Time)
	for _, e := range d.endpoints {
		if arrivals[e.service] == nil {
			arrivals[e.service] = make(map[string][]time.Time)
		}
		for _, a := range e.Arrivals() {
			arrivals[e.service][a.ID] = append(arrivals[e.service][a.ID], a.At)
		}
	}
	var out []retryPeak
	for _, service := range slices.Sorted(maps.Keys(arrivals)) {
		p := d.budget.peak(sent[service], arrivals[service])
		p.service = service
		out = append(out, p)
	}
	return out
}

// peak returns the peak of a service, whose name the caller sets. Sent has the times of its requests,
// and arrivals the times of arrival by request; both are sorted.
func (b *retryBudget) peak(sent []time.Time, arrivals map[string][]time.Time) retryPeak {
	slices.SortFunc(sent, time.Time.Compare)
	var retries []time.Time
	for _, at := range arrivals {
		slices.SortFunc(at, time.Time.Compare)
		retries = append(retries, at[1:]...)
	}
	slices.SortFunc(retries, time.Time.Compare)
	worst := retryPeak{}
	for _, end := range retries {
		p := retryPeak{
			retries: countBetween(retries, end.Add(-b.window), end),
			allowed: b.allowed(sent, end),
			end:     end,
		}
		if worst.retries == 0 || float64(p.retries)-p.allowed > float64(worst.retries)-worst.allowed {
			worst = p
		}
	}
	return worst
}

// serviceOf returns the service of the route with a path prefix.
func serviceOf(path string) string {
	if path == streamPath || path == oncePath {
		return engineService
	}
	return plainService
}

// retryFaults are the faults that DrawRetries draws: endpoints that cause retries, and instances
// that stop while these are made.
var retryFaults = [...]string{
	enginesCut, enginesCut, enginesCut, "endpoint rejects", "endpoint link reset",
	"kill", "kill", "kill", "term", "freeze",
}

// enginesCut makes all engines cut their streams.
const enginesCut = "all engines cut streams"

// cutEngines plays the fault enginesCut.
func (d *Deployment) cutEngines(s Fault) {
	f := endpointFaults["endpoint cuts streams"]
	d.setEngineFaults(f)
	time.Sleep(s.For)
	d.setEngineFaults(platformtest.EndpointFaults{})
}

// setEngineFaults replaces the faults of all engines.
func (d *Deployment) setEngineFaults(f platformtest.EndpointFaults) {
	for _, e := range d.endpoints {
		if e.service == engineService {
			e.setFaults(f)
		}
	}
}

const (
	// retryPause is the mean time between two faults that DrawRetries draws.
	retryPause = 300 * time.Millisecond
	// retryStream distinguishes the random numbers of DrawRetries from those of other schedules.
	retryStream = 5
)

// DrawRetries returns the faults of a seed that cause many retries while the owners of pools change
// in quick succession. It does not depend on the schedule of Draw.
func DrawRetries(seed uint64, length time.Duration, processes int) []Fault {
	r := rand.New(rand.NewPCG(seed, retryStream))
	var out []Fault
	for at := firstFault; at < length; at += time.Duration(r.ExpFloat64() * float64(retryPause)) {
		out = append(out, Fault{
			At:     at,
			For:    time.Duration(minDurationMS+r.IntN(durationSpreadMS)) * time.Millisecond,
			Kind:   retryFaults[r.IntN(len(retryFaults))],
			Target: r.IntN(max(processes, engines+services)),
		})
	}
	return out
}
