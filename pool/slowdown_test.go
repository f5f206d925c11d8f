// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/route"
)

// slowdownHarness is a scheduler with its own clock and engines that report their slowdown when
// queried.
type slowdownHarness struct {
	t    *testing.T
	pool *pool.Scheduler
	now  time.Time
	// reports holds the slowdowns that engines report, by address; an engine without one
	// doesn't answer.
	reports map[string]float64
	// pending holds the answers that have not been delivered.
	pending []func()
	// queries counts the queries by address.
	queries map[string]int
	// lines counts the log lines about changed slowdowns.
	lines   int
	engines int
	count   int
	snap    *catalog.Snapshot
}

// QuerySlowdown implements pool.SlowdownQuerier.
func (f *slowdownHarness) QuerySlowdown(address string, report func(slowdown float64)) {
	f.queries[address]++
	if slowdown, ok := f.reports[address]; ok {
		f.pending = append(f.pending, func() { report(slowdown) })
	}
}

// newSlowdownHarness returns a harness with the given number of engines, which prefill 100 000
// tokens a second.
func newSlowdownHarness(t *testing.T, engines int, mode pool.SlowdownMode) *slowdownHarness {
	t.Helper()
	f := &slowdownHarness{
		t:       t,
		engines: engines,
		now:     time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		reports: make(map[string]float64),
		queries: make(map[string]int),
	}
	log := funcr.NewJSON(func(line string) {
		if strings.Contains(line, `"msg":"endpoint slowdown changed"`) {
			f.lines++
		}
	}, funcr.Options{})
	f.pool = pool.NewScheduler(pool.Settings{
		Self:            "n0",
		SlowdownQuerier: f,
		SlowdownMode:    mode,
		Now:             func() time.Time { return f.now },
	}, log)
	snap := &catalog.Snapshot{
		Table: route.New(1, nil, []route.Service{
			{Name: "engines", Engine: slowEngine()},
		}, nil, false, route.Limits{}),
		Endpoints: make(map[string]catalog.Endpoint),
	}
	for i := range engines {
		name := fmt.Sprint("e", i)
		snap.Endpoints[name] = catalog.Endpoint{
			Instance:      name,
			Service:       "engines",
			Address:       name,
			FailureDomain: "d-" + name,
			Slots:         4,
		}
		f.reports[name] = 1
	}
	f.snap = snap
	f.pool.Update(snap)
	return f
}

// place places a request, and returns the grant and the id of the attempt.
func (f *slowdownHarness) place(a pool.PlacementRequest) (pool.Grant, string) {
	f.t.Helper()
	f.count++
	a.ID = fmt.Sprint("a", f.count)
	g, err := f.pool.Place(f.t.Context(), a)
	if err != nil {
		f.t.Fatal(err)
	}
	return g, a.ID
}

// serve places a request and ends it after its first event, which takes slowdown times the
// predicted time, plus delay. It returns the grant.
func (f *slowdownHarness) serve(a pool.PlacementRequest, slowdown float64, delay time.Duration) pool.Grant {
	f.t.Helper()
	g, id := f.place(a)
	f.now = f.now.Add(time.Duration(float64(g.FirstEventIn)*slowdown) + delay)
	f.pool.FirstEvent(id, "engines")
	f.pool.End(id, "engines", pool.Served, "")
	f.deliver()
	return g
}

// requestFor returns a request that only the named engine may get and that it prefills in 100
// ms.
func (f *slowdownHarness) requestFor(name string) pool.PlacementRequest {
	a := prompt("", 10_000, 5*time.Second)
	for other := range f.engines {
		if other := fmt.Sprint("e", other); other != name {
			a.Exclude = append(a.Exclude, other)
		}
	}
	return a
}

// deliver delivers the pending answers, and those to queries that they cause.
func (f *slowdownHarness) deliver() {
	for len(f.pending) > 0 {
		answer := f.pending[0]
		f.pending = f.pending[1:]
		answer()
	}
}

// advance advances the clock.
func (f *slowdownHarness) advance(d time.Duration) {
	f.now = f.now.Add(d)
}

func (f *slowdownHarness) stats() pool.Stats {
	return f.pool.Stats()["engines"]
}

// soloPrompt returns a request that one engine prefills alone, in 100 ms.
func soloPrompt() pool.PlacementRequest {
	return prompt("", 10_000, time.Second)
}

// jointPrompt returns a request that several engines prefill together.
func jointPrompt() pool.PlacementRequest {
	return prompt("", 400_000, 2*time.Second)
}

// TestDeviationTriggersQuery checks that an engine is queried if its first events deviate from
// the prediction, and only then.
func TestDeviationTriggersQuery(t *testing.T) {
	for _, row := range []struct {
		name     string
		request  pool.PlacementRequest
		slowdown float64
		delay    time.Duration
		// queried is set if all engines of the attempt are queried.
		queried bool
	}{
		{"as predicted", soloPrompt(), 1, 0, false},
		{"a little later", soloPrompt(), 1.1, 0, false},
		{"slow", soloPrompt(), 1.6, 0, true},
		{"slower", soloPrompt(), 3, 0, true},
		{"quicker", soloPrompt(), 0.5, 0, true},
		{"joint, as predicted", jointPrompt(), 1, 0, false},
		{"joint, slow", jointPrompt(), 1.6, 0, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			f := newSlowdownHarness(t, 8, pool.SlowdownQueriedOrEstimated)
			for range 8 {
				f.serve(soloPrompt(), 1, 0)
			}
			clear(f.queries)
			g := f.serve(row.request, row.slowdown, row.delay)
			want := 0
			if row.queried {
				want = 1
			}
			is.Equal(f.queries[g.Instance], want)
			for _, r := range g.Shares {
				is.Equal(f.queries[r.Instance], want)
			}
			is.Equal(len(f.queries), want*(len(g.Shares)+1))
		})
	}
}

// TestLateNetworkIsNoSlowdown guards against taking engines for slow when all events come late
// by about the same time.
func TestLateNetworkIsNoSlowdown(t *testing.T) {
	for _, mode := range []pool.SlowdownMode{pool.SlowdownQueriedOrEstimated, pool.SlowdownEstimated} {
		t.Run(fmt.Sprint(mode), func(t *testing.T) {
			is := is.New(t)
			f := newSlowdownHarness(t, 4, mode)
			for i := range 70 {
				late := time.Duration(0)
				if i > 30 {
					late = time.Duration(60+i%5) * time.Millisecond
				}
				f.serve(f.requestFor(fmt.Sprint("e", i%4)), 1, late)
				is.Equal(f.stats().Slow, 0)
			}
		})
	}
}

// TestOverdueEventTriggersQuery checks that an engine is queried while the first event of an
// attempt there is overdue.
func TestOverdueEventTriggersQuery(t *testing.T) {
	is := is.New(t)
	f := newSlowdownHarness(t, 2, pool.SlowdownQueriedOrEstimated)
	g, _ := f.place(prompt("", 40_000, 5*time.Second))
	f.advance(g.FirstEventIn + 250*time.Millisecond)
	other := soloPrompt()
	other.Exclude = []string{g.Instance}
	f.place(other)
	is.Equal(f.queries[g.Instance], 1)
}

// TestReportedSlowdown checks that reported slowdowns and recoveries are applied, and that slow
// engines are queried at a low rate.
func TestReportedSlowdown(t *testing.T) {
	f := newSlowdownHarness(t, 4, pool.SlowdownQueriedOrEstimated)
	f.reports["e0"] = 3
	slow := f.serve(soloPrompt(), 3, 0)
	t.Run("report is applied", func(t *testing.T) {
		is := is.New(t)
		is.Equal(slow.Instance, "e0")
		is.Equal(f.stats().Slow, 1)
		is.Equal(f.lines, 1)
	})
	t.Run("other engines are queried too", func(t *testing.T) {
		is := is.New(t)
		f.serve(soloPrompt(), 1, 0)
		is.Equal(len(f.queries), 4)
	})
	t.Run("urgent requests go elsewhere", func(t *testing.T) {
		is := is.New(t)
		urgent := soloPrompt()
		urgent.Target = 200 * time.Millisecond
		is.True(f.serve(urgent, 1, 0).Instance != "e0")
	})
	t.Run("queried at a low rate", func(t *testing.T) {
		is := is.New(t)
		before := f.queries["e0"]
		for range 20 {
			f.advance(50 * time.Millisecond)
			f.pool.Submit(soloPrompt())
			f.deliver()
		}
		is.True(f.queries["e0"]-before >= 2 && f.queries["e0"]-before <= 4)
		is.Equal(f.lines, 1)
	})
	t.Run("recovery", func(t *testing.T) {
		is := is.New(t)
		f.reports["e0"] = 1
		f.advance(500 * time.Millisecond)
		f.pool.Submit(soloPrompt())
		f.deliver()
		is.Equal(f.stats().Slow, 0)
		is.Equal(f.lines, 2)
	})
}

// TestEstimatedSlowdown checks that events alone reveal a slow engine and its recovery within
// about a second.
func TestEstimatedSlowdown(t *testing.T) {
	for _, row := range []struct {
		name string
		mode pool.SlowdownMode
		// silent is set if engines don't answer queries.
		silent bool
	}{
		{"engines are not queried", pool.SlowdownEstimated, false},
		{"engines don't answer", pool.SlowdownQueriedOrEstimated, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			f := newSlowdownHarness(t, 3, row.mode)
			if row.silent {
				clear(f.reports)
			}
			for range 4 {
				f.serve(f.requestFor("e1"), 1, 0)
				f.serve(f.requestFor("e2"), 1, 0)
			}
			began := f.now
			for f.stats().Slow == 0 && f.now.Sub(began) < 3*time.Second {
				f.serve(f.requestFor("e0"), 2, 0)
			}
			is.Equal(f.stats().Slow, 1)
			is.True(f.now.Sub(began) < 1500*time.Millisecond)
			f.advance(100 * time.Millisecond)
			// The engine is back at the speed of its model and takes half the predicted time.
			began = f.now
			for f.stats().Slow == 1 && f.now.Sub(began) < 3*time.Second {
				f.serve(f.requestFor("e0"), 0.5, 0)
			}
			is.Equal(f.stats().Slow, 0)
			is.True(f.now.Sub(began) < time.Second)
		})
	}
	t.Run("estimate expires without events", func(t *testing.T) {
		is := is.New(t)
		f := newSlowdownHarness(t, 3, pool.SlowdownEstimated)
		for range 5 {
			f.serve(prompt("", 10_000, 5*time.Second), 2, 0)
		}
		is.Equal(f.stats().Slow, 1)
		elsewhere := soloPrompt()
		elsewhere.Exclude = []string{"e0"}
		began := f.now
		for f.stats().Slow > 0 && f.now.Sub(began) < 12*time.Second {
			f.serve(elsewhere, 1, 0)
		}
		is.Equal(f.stats().Slow, 0)
		is.True(f.now.Sub(began) < 9*time.Second)
	})
}

// TestOnlyDecidingInstanceQueries checks that an instance sends no queries if other instances
// place the requests, or if slowdowns are ignored.
func TestOnlyDecidingInstanceQueries(t *testing.T) {
	t.Run("another instance decides", func(t *testing.T) {
		is := is.New(t)
		f := newSlowdownHarness(t, 2, pool.SlowdownQueriedOrEstimated)
		a := soloPrompt()
		a.ID = "adopted"
		f.pool.Adopt(a, pool.Grant{
			Instance:     "e0",
			FirstEventIn: 100 * time.Millisecond,
		}, false)
		f.advance(400 * time.Millisecond)
		f.pool.FirstEvent("adopted", "engines")
		is.Equal(len(f.queries), 0)
		is.Equal(f.stats().Slow, 0)
	})
	t.Run("slowdowns are ignored", func(t *testing.T) {
		is := is.New(t)
		f := newSlowdownHarness(t, 2, pool.SlowdownIgnored)
		for range 5 {
			f.serve(soloPrompt(), 3, 0)
		}
		is.Equal(len(f.queries), 0)
		is.Equal(f.stats().Slow, 0)
	})
}

// TestRefusalConsidersSlowdown checks that a first try is refused at once if the engine, at its
// slowdown, can't prefill the prompt in time behind its pending work.
func TestRefusalConsidersSlowdown(t *testing.T) {
	for _, row := range []struct {
		name     string
		slowdown float64
		refused  bool
	}{
		{"normal", 1, false},
		{"slow", 3.5, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			f := newSlowdownHarness(t, 1, pool.SlowdownQueriedOrEstimated)
			f.reports["e0"] = row.slowdown
			f.serve(f.requestFor("e0"), row.slowdown, 0)
			f.place(prompt("", 100_000, 10*time.Second))
			_, r, _ := f.pool.Submit(prompt("r", 50_000, 2800*time.Millisecond)).Decision()
			is.Equal(r != nil, row.refused)
		})
	}
}

// TestClosedEngineNotQueried checks that engines which get no new requests are not queried.
func TestClosedEngineNotQueried(t *testing.T) {
	for _, row := range []struct {
		name  string
		close func(s *catalog.Snapshot, e *catalog.Endpoint)
		// queries is the expected number of queries.
		queries int
	}{
		{"open", func(*catalog.Snapshot, *catalog.Endpoint) {}, 1},
		{"leaving", func(_ *catalog.Snapshot, e *catalog.Endpoint) { e.Leaving = true }, 0},
		{"failure domain drained", func(s *catalog.Snapshot, e *catalog.Endpoint) {
			s.Drained = map[string]time.Time{
				e.FailureDomain: time.Now(),
			}
		}, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			f := newSlowdownHarness(t, 2, pool.SlowdownQueriedOrEstimated)
			g, id := f.place(soloPrompt())
			e := f.snap.Endpoints[g.Instance]
			row.close(f.snap, &e)
			f.snap.Endpoints[g.Instance] = e
			f.pool.Update(f.snap)
			f.advance(3 * g.FirstEventIn)
			f.pool.FirstEvent(id, "engines")
			is.Equal(f.queries[g.Instance], row.queries)
		})
	}
}

// TestSlowdownOfEarlierIncarnation checks that a restarted engine has no slowdown, and that
// answers to queries of its earlier incarnation are ignored.
func TestSlowdownOfEarlierIncarnation(t *testing.T) {
	startedAt := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	restart := func(f *slowdownHarness, at time.Time) {
		e := f.snap.Endpoints["e0"]
		e.StartedAt = at
		f.snap.Endpoints["e0"] = e
		f.pool.Update(f.snap)
	}
	for _, row := range []struct {
		name string
		// late is set if the answer arrives after the restart.
		late bool
	}{
		{"answer before the restart", false},
		{"answer after the restart", true},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			f := newSlowdownHarness(t, 2, pool.SlowdownQueriedOrEstimated)
			restart(f, startedAt)
			f.reports["e0"] = 3
			_, id := f.place(f.requestFor("e0"))
			f.advance(400 * time.Millisecond)
			f.pool.FirstEvent(id, "engines")
			is.Equal(f.queries["e0"], 1)
			if !row.late {
				f.deliver()
				is.Equal(f.stats().Slow, 1)
			}
			restart(f, startedAt.Add(time.Minute))
			f.deliver()
			is.Equal(f.stats().Slow, 0)
		})
	}
}
