// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/route"
)

// incarnationHarness is a scheduler with endpoints that may restart.
type incarnationHarness struct {
	t    *testing.T
	s    *Scheduler
	snap *catalog.Snapshot
	now  time.Time
}

// firstIncarnation is when the endpoints of an incarnationHarness first started.
var firstIncarnation = time.UnixMilli(1796256000000)

// newIncarnationHarness returns a scheduler that knows n endpoints of each of the services
// "engines" and "plain", with two slots each.
func newIncarnationHarness(t *testing.T, n int) *incarnationHarness {
	t.Helper()
	w := &incarnationHarness{
		t: t,
		snap: &catalog.Snapshot{
			Table: route.New(1, nil, []route.Service{
				{
					Name: "engines",
					Engine: &batch.Model{
						Slots:            2,
						Capacity:         100_000,
						StepsPerPass:     10,
						Step:             time.Millisecond,
						PrefillPerSecond: 100_000,
					},
				},
				{
					Name: "plain",
				},
			}, nil, false, route.Limits{}),
			Endpoints: make(map[string]catalog.Endpoint),
		},
		now: firstIncarnation.Add(time.Hour),
	}
	w.s = NewScheduler(Settings{
		Self: "n0",
		Now:  func() time.Time { return w.now },
	}, logr.Discard())
	for i := range n {
		w.restart(fmt.Sprintf("e%d", i), "engines", firstIncarnation)
		w.restart(fmt.Sprintf("p%d", i), "plain", firstIncarnation)
	}
	return w
}

// restart applies the catalog entry of an endpoint with the given start time.
func (w *incarnationHarness) restart(name, service string, startedAt time.Time) {
	w.snap.Endpoints[name] = catalog.Endpoint{
		Instance:  name,
		Service:   service,
		Address:   name + ":1",
		Slots:     2,
		StartedAt: startedAt,
	}
	w.s.Update(w.snap)
}

// place places a request and fails the test if that isn't possible at once.
func (w *incarnationHarness) place(id, service string, prompt int) Grant {
	w.t.Helper()
	wait := w.s.Submit(w.request(id, service, prompt))
	g, _, ok := wait.Decision()
	if !ok || g.Instance == "" {
		w.t.Fatalf("%s was not placed", id)
	}
	return g
}

// request returns a request with a prompt of the given length.
func (w *incarnationHarness) request(id, service string, prompt int) PlacementRequest {
	return PlacementRequest{
		ID:       id,
		Service:  service,
		Prompt:   prompt,
		Output:   100,
		Target:   2 * time.Second,
		Deadline: 10 * time.Second,
	}
}

// running returns the number of jobs in the model of an endpoint.
func (w *incarnationHarness) running(name, service string) int {
	return len(w.s.pools[service].engines[name].Jobs)
}

// isEjected reports whether an endpoint is ejected.
func (w *incarnationHarness) isEjected(name, service string) bool {
	h := w.s.pools[service].health[name]
	return !h.shared.usable(w.now) || !h.own.usable(w.now)
}

// eject makes requests on an endpoint fail until it is ejected.
func (w *incarnationHarness) eject(name, service string) {
	w.t.Helper()
	for i := range 20 {
		if w.isEjected(name, service) {
			return
		}
		id := fmt.Sprintf("fails-%s-%d", name, i)
		w.place(id, service, 100)
		w.s.EndFrom(id, service, Unreachable, name, fmt.Sprint("n", i%2))
	}
	w.t.Fatal("the endpoint is not ejected")
}

// TestRestartEndsAttempts checks that a restart of an endpoint ends the attempts on its earlier
// incarnation and clears its failures.
func TestRestartEndsAttempts(t *testing.T) {
	for service, name := range map[string]string{"engines": "e0", "plain": "p0"} {
		t.Run(service, func(t *testing.T) {
			is := is.New(t)
			w := newIncarnationHarness(t, 1)
			w.eject(name, service)
			w.now = w.now.Add(maxEjection)
			w.place("one", service, 1000)
			w.place("two", service, 1000)
			w.s.UnusableEndpoints(service)
			w.restart(name, service, firstIncarnation.Add(time.Minute))
			is.Equal(w.running(name, service), 0)
			is.Equal(len(w.s.pools[service].attempts), 0)
			is.True(!w.isEjected(name, service))
			is.Equal(w.s.pools[service].health[name].failureRate, 0.0)
			g := w.place("three", service, 1000)
			is.Equal(g.StartedAt, firstIncarnation.Add(time.Minute))
			// Outcomes of attempts on the earlier incarnation don't count for the new one.
			for range 5 {
				w.s.EndFrom("one", service, Unreachable, name, "n1")
				w.s.EndFrom("two", service, Unreachable, name, "n2")
			}
			is.True(!w.isEjected(name, service))
			is.Equal(w.running(name, service), 1)
		})
	}
}

// TestSameIncarnationKeepsAttempts checks that a catalog entry with the known start time, or
// without one, ends no attempts.
func TestSameIncarnationKeepsAttempts(t *testing.T) {
	for _, startedAt := range []time.Time{firstIncarnation, {}} {
		is := is.New(t)
		w := newIncarnationHarness(t, 1)
		w.place("one", "engines", 1000)
		w.restart("e0", "engines", startedAt)
		is.Equal(w.running("e0", "engines"), 1)
		w.restart("e0", "engines", firstIncarnation)
		is.Equal(w.running("e0", "engines"), 1)
	}
}

// TestRestartOfPrefillHelper checks that the restart of an engine ends its share of a joint
// prefill, but not the attempt.
func TestRestartOfPrefillHelper(t *testing.T) {
	is := is.New(t)
	w := newIncarnationHarness(t, 4)
	a := w.request("long", "engines", 90_000)
	a.Target = 500 * time.Millisecond
	g, _, _ := w.s.Submit(a).Decision()
	is.True(len(g.Shares) > 0)
	w.place("beside", "engines", 1000)
	helper := g.Shares[0].Instance
	before := w.running(helper, "engines")
	w.restart(helper, "engines", firstIncarnation.Add(time.Minute))
	is.Equal(w.running(helper, "engines"), before-1)
	is.True(w.s.pools["engines"].attempts["long"] != nil) // the engine that answers it notices the failure
	w.s.End("long", "engines", Failed, "")
	is.Equal(w.running(g.Instance, "engines"), 0)
}

// TestAdoptOfEarlierIncarnation checks that an adopted attempt counts if its grant is for a newer
// incarnation or an unknown one, but not if it is for an earlier one.
func TestAdoptOfEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	w := newIncarnationHarness(t, 1)
	second, third := firstIncarnation.Add(time.Minute), firstIncarnation.Add(2*time.Minute)
	w.restart("e0", "engines", second)
	w.s.Adopt(w.request("old", "engines", 1000), Grant{
		Instance:  "e0",
		StartedAt: firstIncarnation,
	}, true)
	is.Equal(w.running("e0", "engines"), 0)
	w.s.Adopt(w.request("new", "engines", 1000), Grant{
		Instance:  "e0",
		StartedAt: third, // the deciding instance knows it already
	}, false)
	w.s.Adopt(w.request("unknown", "engines", 1000), Grant{
		Instance: "e0",
	}, false)
	is.Equal(w.running("e0", "engines"), 2)
	w.restart("e0", "engines", third)
	is.Equal(w.running("e0", "engines"), 1)
	is.True(w.s.pools["engines"].attempts["new"] != nil)
}
