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

// scene is an endpoint, a platform and two holders.
type scene struct {
	engine   *standin.Engine
	platform *standin.Platform
	holders  [2]*Reconciler
	target   Target
}

func newScene(t *testing.T, checks bool) *scene {
	t.Helper()
	s := &scene{
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
	for i := range s.holders {
		s.holders[i] = New(Settings{}, s.platform.Log, s.platform.Weights, logr.Discard())
	}
	return s
}

// have returns what the engine reports.
func (s *scene) have(t *testing.T) State {
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

// work lets a holder reconcile each second for a while.
func (s *scene) work(t *testing.T, holder int, within time.Duration) []Outcome {
	t.Helper()
	var out []Outcome
	for range int(within / time.Second) {
		out = append(out, s.holders[holder].Reconcile(t.Context(), s.target, s.have(t), s.engine))
		time.Sleep(time.Second)
	}
	return out
}

func TestOrders(t *testing.T) {
	for _, c := range []struct {
		name   string
		checks bool
		run    func(t *testing.T, s *scene)
		want   string
	}{
		{"version", true, func(t *testing.T, s *scene) {
			is.New(t).Equal(s.work(t, 0, 3*time.Second), []Outcome{Ordered, Settled, Settled})
		}, "2"},
		{"endpoint that does not check waits out the former holder", false, func(t *testing.T, s *scene) {
			is.New(t).Equal(s.work(t, 0, 9*time.Second)[8], Waiting)
			s.work(t, 0, 4*time.Second)
		}, "2"},
		{"stale holder, endpoint checks", true, func(t *testing.T, s *scene) {
			s.work(t, 0, 2*time.Second)
			// A former holder wakes with the fence that it took long ago.
			err := s.engine.Order(t.Context(), engine.Order{
				Fence:   0,
				Model:   "m1",
				Version: "1",
			})
			is.New(t).True(err != nil)
		}, "2"},
		{"stale holder, endpoint does not check: put right", false, func(t *testing.T, s *scene) {
			s.work(t, 0, 15*time.Second)
			err := s.engine.Order(t.Context(), engine.Order{
				Fence:   0,
				Model:   "m1",
				Version: "1",
			})
			is.New(t).NoErr(err)
			s.work(t, 0, 5*time.Second)
		}, "2"},
		{"two holders at once", true, func(t *testing.T, s *scene) {
			s.work(t, 0, 2*time.Second)
			s.work(t, 1, 2*time.Second)
		}, "2"},
		{"log down, then back", true, func(t *testing.T, s *scene) {
			s.platform.Log.SetFaults(standin.Faults{Outage: true})
			is.New(t).Equal(s.work(t, 0, time.Second), []Outcome{Failed})
			is.New(t).Equal(s.have(t).Version, "1")
			s.platform.Log.SetFaults(standin.Faults{})
			s.work(t, 0, 5*time.Second)
		}, "2"},
		{"answer of the log lost", true, func(t *testing.T, s *scene) {
			s.platform.Log.SetFaults(standin.Faults{LoseAnswer: 1})
			s.work(t, 0, 5*time.Second)
		}, "2"},
		{"answer of the endpoint lost", true, func(t *testing.T, s *scene) {
			s.engine.SetFaults(standin.Faults{LoseAnswer: 1})
			is.New(t).Equal(s.work(t, 0, 2*time.Second), []Outcome{Failed, Settled})
		}, "2"},
		{"weight store down, then back", true, func(t *testing.T, s *scene) {
			s.platform.Weights.SetFaults(standin.Faults{Outage: true})
			s.work(t, 0, 3*time.Second)
			is.New(t).Equal(s.have(t).Version, "1")
			s.platform.Weights.SetFaults(standin.Faults{})
			s.work(t, 0, 5*time.Second)
		}, "2"},
		{"configuration changes meanwhile", true, func(t *testing.T, s *scene) {
			s.work(t, 0, 2*time.Second)
			s.target.Want.Version = "3"
			s.work(t, 0, 4*time.Second)
		}, "3"},
		{"adapters take no permit", true, func(t *testing.T, s *scene) {
			s.target.Want = State{
				Model:    "m1",
				Version:  "1",
				Adapters: []string{"b", "a"},
			}
			s.platform.Weights.SetFaults(standin.Faults{Outage: true})
			is.New(t).Equal(s.work(t, 0, 2*time.Second), []Outcome{Ordered, Settled})
		}, "1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newScene(t, c.checks)
				defer s.engine.Stop()
				c.run(t, s)
				is.New(t).Equal(s.have(t).Version, c.want)
			})
		})
	}
}

// TestWeightsWithinLimit proves that many endpoints are loaded no faster than
// the weight store allows, and that none is left out.
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
