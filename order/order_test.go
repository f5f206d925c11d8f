// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package order

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/engine"
	"github.com/linkmast/linkmast/standin"
)

// harness holds an endpoint, the platform services and two reconcilers that both act as its
// owner.
type harness struct {
	engine   *standin.Engine
	platform *standin.Platform
	owners   [2]*Reconciler
	target   Target
}

func newHarness(t *testing.T, checks bool) *harness {
	t.Helper()
	s := &harness{
		engine: standin.NewEngine(standin.EngineSettings{
			Model:        "m1",
			Version:      "1",
			ChecksOrders: checks,
		}),
		platform: standin.NewPlatform(standin.LogSettings{}),
		target: Target{
			Endpoint: "e1",
			Want: State{
				Model:   "m1",
				Version: "2",
			},
			Checks: checks,
		},
	}
	for i := range s.owners {
		s.owners[i] = New(Settings{}, s.platform.Log, s.platform.Weights, logr.Discard())
	}
	return s
}

// have returns the state that the engine reports.
func (s *harness) have(t *testing.T) State {
	t.Helper()
	st, err := s.engine.Status(t.Context(), false)
	if err != nil {
		t.Fatal(err)
	}
	return State{
		Model:    st.Model,
		Version:  st.Version,
		Adapters: st.Adapters,
	}
}

// reconcile reconciles once a second for the given time and returns the outcomes.
func (s *harness) reconcile(t *testing.T, owner int, within time.Duration) []Outcome {
	t.Helper()
	var out []Outcome
	for range int(within / time.Second) {
		out = append(out, s.owners[owner].Reconcile(t.Context(), s.target, s.have(t), s.engine))
		time.Sleep(time.Second)
	}
	return out
}

func TestReconcile(t *testing.T) {
	for _, c := range []struct {
		name   string
		checks bool
		run    func(t *testing.T, s *harness)
		want   string
	}{
		{"new version", true, func(t *testing.T, s *harness) {
			is.New(t).Equal(s.reconcile(t, 0, 3*time.Second), []Outcome{Ordered, Settled, Settled})
		}, "2"},
		{"endpoint without fence checks waits for TakeoverDelay", false, func(t *testing.T, s *harness) {
			is.New(t).Equal(s.reconcile(t, 0, 9*time.Second)[8], Waiting)
			s.reconcile(t, 0, 4*time.Second)
		}, "2"},
		{"stale owner, endpoint checks fences", true, func(t *testing.T, s *harness) {
			s.reconcile(t, 0, 2*time.Second)
			// A former owner resumes with an old fence.
			err := s.engine.Order(t.Context(), engine.Order{
				Fence:   0,
				Model:   "m1",
				Version: "1",
			})
			is.New(t).True(err != nil)
		}, "2"},
		{"stale owner, endpoint does not check fences, corrected later", false, func(t *testing.T, s *harness) {
			s.reconcile(t, 0, 15*time.Second)
			err := s.engine.Order(t.Context(), engine.Order{
				Fence:   0,
				Model:   "m1",
				Version: "1",
			})
			is.New(t).NoErr(err)
			s.reconcile(t, 0, 5*time.Second)
		}, "2"},
		{"two owners at once", true, func(t *testing.T, s *harness) {
			s.reconcile(t, 0, 2*time.Second)
			s.reconcile(t, 1, 2*time.Second)
		}, "2"},
		{"log outage", true, func(t *testing.T, s *harness) {
			s.platform.Log.SetFaults(standin.Faults{Outage: true})
			is.New(t).Equal(s.reconcile(t, 0, time.Second), []Outcome{Failed})
			is.New(t).Equal(s.have(t).Version, "1")
			s.platform.Log.SetFaults(standin.Faults{})
			s.reconcile(t, 0, 5*time.Second)
		}, "2"},
		{"lost answer of the log", true, func(t *testing.T, s *harness) {
			s.platform.Log.SetFaults(standin.Faults{LoseAnswer: 1})
			s.reconcile(t, 0, 5*time.Second)
		}, "2"},
		{"lost answer of the endpoint", true, func(t *testing.T, s *harness) {
			s.engine.SetFaults(standin.Faults{LoseAnswer: 1})
			is.New(t).Equal(s.reconcile(t, 0, 2*time.Second), []Outcome{Failed, Settled})
		}, "2"},
		{"weight store outage", true, func(t *testing.T, s *harness) {
			s.platform.Weights.SetFaults(standin.Faults{Outage: true})
			s.reconcile(t, 0, 3*time.Second)
			is.New(t).Equal(s.have(t).Version, "1")
			s.platform.Weights.SetFaults(standin.Faults{})
			s.reconcile(t, 0, 5*time.Second)
		}, "2"},
		{"configuration change", true, func(t *testing.T, s *harness) {
			s.reconcile(t, 0, 2*time.Second)
			s.target.Want.Version = "3"
			s.reconcile(t, 0, 4*time.Second)
		}, "3"},
		{"adapters need no permit", true, func(t *testing.T, s *harness) {
			s.target.Want = State{
				Model:    "m1",
				Version:  "1",
				Adapters: []string{"b", "a"},
			}
			s.platform.Weights.SetFaults(standin.Faults{Outage: true})
			is.New(t).Equal(s.reconcile(t, 0, 2*time.Second), []Outcome{Ordered, Settled})
		}, "1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newHarness(t, c.checks)
				defer s.engine.Stop()
				c.run(t, s)
				is.New(t).Equal(s.have(t).Version, c.want)
			})
		})
	}
}

// TestWeightsWithinLimit checks that many endpoints load no faster than the weight store
// allows, and that all of them load in the end.
func TestWeightsWithinLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const n = 10
		store := standin.NewWeights(standin.WeightSettings{
			FetchesPerMinute: 30,
		})
		o := New(Settings{}, standin.NewLog(standin.LogSettings{}), store, logr.Discard())
		var engines []*standin.Engine
		for range n {
			e := standin.NewEngine(standin.EngineSettings{
				Model:        "m1",
				Version:      "1",
				ChecksOrders: true,
			})
			defer e.Stop()
			engines = append(engines, e)
		}
		loaded := 0
		for second := range 60 {
			loaded = 0
			for i, e := range engines {
				st, err := e.Status(t.Context(), false)
				is.NoErr(err)
				if st.Version == "2" {
					loaded++
				}
				o.Reconcile(t.Context(), Target{
					Endpoint: fmt.Sprint(i),
					Want: State{
						Model:   "m1",
						Version: "2",
					},
					Checks: true,
				}, State{
					Model:   st.Model,
					Version: st.Version,
				}, e)
			}
			is.True(loaded <= second/2+2)
			time.Sleep(time.Second)
		}
		is.Equal(loaded, n)
	})
}
