// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/platform/platformtest"
)

// arrivalsEvery returns n arrivals from one instance at a fixed interval, with the given
// announcements.
func arrivalsEvery(begin time.Time, n int, every time.Duration, f platformtest.EndpointFaults) []arrival {
	var out []arrival
	for i := range n {
		out = append(out, arrival{
			Arrival: platformtest.Arrival{
				ID:     fmt.Sprint(i),
				At:     begin.Add(time.Duration(i) * every),
				Faults: f,
			},
		})
	}
	return out
}

// TestCheckStatements guards against undetected requests that disregard an endpoint's
// announcement, and against violations reported for a frozen instance.
func TestCheckStatements(t *testing.T) {
	begin := time.Now()
	leaving := platformtest.EndpointFaults{Leaving: true}
	limit := statementFaults["endpoint names a limit"]
	backoff := statementFaults["endpoint asks for a back-off"]
	leave := (*Deployment).checkLeaving
	for _, c := range []struct {
		name  string
		check func(*Deployment, *endpoint, []arrival) []Violation
		all   []arrival
		wrong bool
	}{
		{"leaving, requests in time", leave, arrivalsEvery(begin, 20, 100*time.Millisecond, leaving), false},
		{"leaving, late requests", leave, arrivalsEvery(begin, 5, time.Second, leaving), true},
		{"leaving twice", leave, slices.Concat(
			arrivalsEvery(begin, 5, 100*time.Millisecond, leaving),
			arrivalsEvery(begin.Add(time.Second), 5, time.Second, platformtest.EndpointFaults{}),
			arrivalsEvery(begin.Add(6*time.Second), 5, 100*time.Millisecond, leaving),
		), false},
		{"leaving twice, late requests the second time", leave, slices.Concat(
			arrivalsEvery(begin, 5, 100*time.Millisecond, leaving),
			arrivalsEvery(begin.Add(time.Second), 5, time.Second, platformtest.EndpointFaults{}),
			arrivalsEvery(begin.Add(6*time.Second), 5, time.Second, leaving),
		), true},
		{"not leaving", leave, arrivalsEvery(begin, 5, time.Second, platformtest.EndpointFaults{}), false},
		{"limit kept", (*Deployment).checkLimits, arrivalsEvery(begin, 20, 500*time.Millisecond, limit), false},
		{"limit exceeded", (*Deployment).checkLimits, arrivalsEvery(begin, 60, 100*time.Millisecond, limit), true},
		{"no limit", (*Deployment).checkLimits, arrivalsEvery(begin, 60, 100*time.Millisecond, platformtest.EndpointFaults{}), false},
		{"back-off kept", (*Deployment).checkBackoffs, arrivalsEvery(begin, 5, statedBackoff, backoff), false},
		{"back-off broken", (*Deployment).checkBackoffs, arrivalsEvery(begin, 20, 100*time.Millisecond, backoff), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := &endpoint{
				Endpoint: &platformtest.Endpoint{},
			}
			d := &Deployment{
				processes: make([]*process, 1),
				endpoints: []*endpoint{e},
			}
			is.New(t).Equal(len(c.check(d, e, c.all)) > 0, c.wrong)
			d.played = []playedFault{{
				fault: Fault{Kind: "freeze", For: time.Hour},
				began: begin,
			}}
			is.New(t).Equal(len(c.check(d, e, c.all)), 0)
		})
	}
}

func TestDrawStatements(t *testing.T) {
	is := is.New(t)
	a := DrawStatements(7, time.Minute)
	is.Equal(a, DrawStatements(7, time.Minute))
	is.True(len(a) > 10)
	all := merge(Draw(7, time.Minute, 4), a)
	for i := range all[1:] {
		is.True(all[i].At <= all[i+1].At)
	}
}
