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

// pacePool is a scheduler with a clock of its own, and engines that tell their pace.
type pacePool struct {
	t    *testing.T
	pool *pool.Scheduler
	now  time.Time
	// tells are the paces by address; an engine without one doesn't answer.
	tells map[string]float64
	// answers are what is on its way.
	answers []func()
	// asked counts the questions by address.
	asked map[string]int
	// lines counts the lines about paces.
	lines   int
	engines int
	count   int
	snap    *catalog.Snapshot
}

// QuerySlowdown implements pool.SlowdownQuerier.
func (f *pacePool) QuerySlowdown(address string, told func(pace float64)) {
	f.asked[address]++
	if pace, ok := f.tells[address]; ok {
		f.answers = append(f.answers, func() { told(pace) })
	}
}

// newPacePool returns one with some engines that read 100 000 tokens a second.
func newPacePool(t *testing.T, engines int, way pool.SlowdownMode) *pacePool {
	t.Helper()
	f := &pacePool{
		t:       t,
		engines: engines,
		now:     time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		tells:   make(map[string]float64),
		asked:   make(map[string]int),
	}
	log := funcr.NewJSON(func(line string) {
		if strings.Contains(line, `"msg":"endpoint slowdown changed"`) {
			f.lines++
		}
	}, funcr.Options{})
	f.pool = pool.NewScheduler(pool.Settings{
		Self:            "n0",
		SlowdownQuerier: f,
		SlowdownMode:    way,
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
		f.tells[name] = 1
	}
	f.snap = snap
	f.pool.Update(snap)
	return f
}

// place places a request, and returns its place and the attempt's id.
func (f *pacePool) place(a pool.PlacementRequest) (pool.Grant, string) {
	f.t.Helper()
	f.count++
	a.ID = fmt.Sprint("a", f.count)
	g, err := f.pool.Place(f.t.Context(), a)
	if err != nil {
		f.t.Fatal(err)
	}
	return g, a.ID
}

// serve places a request, and lets its first event come so many times as late as
// predicted, and some time more. It returns where that was.
func (f *pacePool) serve(a pool.PlacementRequest, pace float64, more time.Duration) pool.Grant {
	f.t.Helper()
	g, id := f.place(a)
	f.now = f.now.Add(time.Duration(float64(g.FirstEventIn)*pace) + more)
	f.pool.First(id, "engines")
	f.pool.End(id, "engines", pool.Served, "")
	f.answer()
	return g
}

// on returns a request that one engine reads in 100 ms and that only this one may get.
func (f *pacePool) on(name string) pool.PlacementRequest {
	a := prompt("", 10_000, 5*time.Second)
	for other := range f.engines {
		if other := fmt.Sprint("e", other); other != name {
			a.Exclude = append(a.Exclude, other)
		}
	}
	return a
}

// answer lets what engines tell arrive, and what is asked then.
func (f *pacePool) answer() {
	for len(f.answers) > 0 {
		do := f.answers[0]
		f.answers = f.answers[1:]
		do()
	}
}

// rest lets some time pass.
func (f *pacePool) rest(d time.Duration) {
	f.now = f.now.Add(d)
}

func (f *pacePool) figures() pool.Stats {
	return f.pool.Stats()["engines"]
}

// ownPrompt is one that one engine reads in 100 ms, and jointPrompt one that several read.
func ownPrompt() pool.PlacementRequest {
	return prompt("", 10_000, time.Second)
}

func jointPrompt() pool.PlacementRequest {
	return prompt("", 400_000, 2*time.Second)
}

// TestSuspects looks which events make an engine be asked.
func TestSuspects(t *testing.T) {
	for _, row := range []struct {
		name string
		ask  pool.PlacementRequest
		pace float64
		more time.Duration
		// asked is whether all engines of the attempt are.
		asked bool
	}{
		{"as predicted", ownPrompt(), 1, 0, false},
		{"a little later", ownPrompt(), 1.1, 0, false},
		{"slow", ownPrompt(), 1.6, 0, true},
		{"slower", ownPrompt(), 3, 0, true},
		{"quicker", ownPrompt(), 0.5, 0, true},
		{"joint, as predicted", jointPrompt(), 1, 0, false},
		{"joint, slow", jointPrompt(), 1.6, 0, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			f := newPacePool(t, 8, pool.SlowdownQueriedOrEstimated)
			for range 8 {
				f.serve(ownPrompt(), 1, 0)
			}
			clear(f.asked)
			g := f.serve(row.ask, row.pace, row.more)
			want := 0
			if row.asked {
				want = 1
			}
			is.Equal(f.asked[g.Instance], want)
			for _, r := range g.Shares {
				is.Equal(f.asked[r.Instance], want)
			}
			is.Equal(len(f.asked), want*(len(g.Shares)+1))
		})
	}
}

// TestLateNetwork looks that no engine is taken to be slow as all events come later than
// predicted by the same time.
func TestLateNetwork(t *testing.T) {
	for _, way := range []pool.SlowdownMode{pool.SlowdownQueriedOrEstimated, pool.SlowdownEstimated} {
		t.Run(fmt.Sprint(way), func(t *testing.T) {
			is := is.New(t)
			f := newPacePool(t, 4, way)
			for i := range 70 {
				late := time.Duration(0)
				if i > 30 {
					late = time.Duration(60+i%5) * time.Millisecond
				}
				f.serve(f.on(fmt.Sprint("e", i%4)), 1, late)
				is.Equal(f.figures().Slow, 0)
			}
		})
	}
}

// TestOverdue looks that an engine is asked before a first event comes that is overdue.
func TestOverdue(t *testing.T) {
	is := is.New(t)
	f := newPacePool(t, 2, pool.SlowdownQueriedOrEstimated)
	g, _ := f.place(prompt("", 40_000, 5*time.Second))
	f.rest(g.FirstEventIn + 250*time.Millisecond)
	other := ownPrompt()
	other.Exclude = []string{g.Instance}
	f.place(other)
	is.Equal(f.asked[g.Instance], 1)
}

// TestTold looks that what an engine tells is taken over, also of its return, and that it
// is asked seldom.
func TestTold(t *testing.T) {
	f := newPacePool(t, 4, pool.SlowdownQueriedOrEstimated)
	f.tells["e0"] = 3
	slow := f.serve(ownPrompt(), 3, 0)
	t.Run("taken over", func(t *testing.T) {
		is := is.New(t)
		is.Equal(slow.Instance, "e0")
		is.Equal(f.figures().Slow, 1)
		is.Equal(f.lines, 1)
	})
	t.Run("others are asked too", func(t *testing.T) {
		is := is.New(t)
		f.serve(ownPrompt(), 1, 0)
		is.Equal(len(f.asked), 4)
	})
	t.Run("urgent requests go elsewhere", func(t *testing.T) {
		is := is.New(t)
		urgent := ownPrompt()
		urgent.Target = 200 * time.Millisecond
		is.True(f.serve(urgent, 1, 0).Instance != "e0")
	})
	t.Run("asked from time to time", func(t *testing.T) {
		is := is.New(t)
		before := f.asked["e0"]
		for range 20 {
			f.rest(50 * time.Millisecond)
			f.pool.Submit(ownPrompt())
			f.answer()
		}
		is.True(f.asked["e0"]-before >= 2 && f.asked["e0"]-before <= 4)
		is.Equal(f.lines, 1)
	})
	t.Run("return", func(t *testing.T) {
		is := is.New(t)
		f.tells["e0"] = 1
		f.rest(500 * time.Millisecond)
		f.pool.Submit(ownPrompt())
		f.answer()
		is.Equal(f.figures().Slow, 0)
		is.Equal(f.lines, 2)
	})
}

// TestPaceLearned looks that events alone tell of a slow engine, within a second, and of
// its return.
func TestPaceLearned(t *testing.T) {
	for _, row := range []struct {
		name string
		way  pool.SlowdownMode
		// silent engines don't answer.
		silent bool
	}{
		{"engines aren't asked", pool.SlowdownEstimated, false},
		{"engines don't answer", pool.SlowdownQueriedOrEstimated, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			f := newPacePool(t, 3, row.way)
			if row.silent {
				clear(f.tells)
			}
			for range 4 {
				f.serve(f.on("e1"), 1, 0)
				f.serve(f.on("e2"), 1, 0)
			}
			began := f.now
			for f.figures().Slow == 0 && f.now.Sub(began) < 3*time.Second {
				f.serve(f.on("e0"), 2, 0)
			}
			is.Equal(f.figures().Slow, 1)
			is.True(f.now.Sub(began) < 1500*time.Millisecond)
			f.rest(100 * time.Millisecond)
			// It works at its model's pace again: in half the time predicted.
			began = f.now
			for f.figures().Slow == 1 && f.now.Sub(began) < 3*time.Second {
				f.serve(f.on("e0"), 0.5, 0)
			}
			is.Equal(f.figures().Slow, 0)
			is.True(f.now.Sub(began) < time.Second)
		})
	}
	t.Run("tried again without events", func(t *testing.T) {
		is := is.New(t)
		f := newPacePool(t, 3, pool.SlowdownEstimated)
		for range 5 {
			f.serve(prompt("", 10_000, 5*time.Second), 2, 0)
		}
		is.Equal(f.figures().Slow, 1)
		elsewhere := ownPrompt()
		elsewhere.Exclude = []string{"e0"}
		began := f.now
		for f.figures().Slow > 0 && f.now.Sub(began) < 12*time.Second {
			f.serve(elsewhere, 1, 0)
		}
		is.Equal(f.figures().Slow, 0)
		is.True(f.now.Sub(began) < 9*time.Second)
	})
}

// TestOnlyDeciderAsks looks that an instance asks no engines whose places others give, nor
// while it places alone.
func TestOnlyDeciderAsks(t *testing.T) {
	t.Run("another decides", func(t *testing.T) {
		is := is.New(t)
		f := newPacePool(t, 2, pool.SlowdownQueriedOrEstimated)
		a := ownPrompt()
		a.ID = "adopted"
		f.pool.Adopt(a, pool.Grant{
			Instance:     "e0",
			FirstEventIn: 100 * time.Millisecond,
		}, false)
		f.rest(400 * time.Millisecond)
		f.pool.First("adopted", "engines")
		is.Equal(len(f.asked), 0)
		is.Equal(f.figures().Slow, 0)
	})
	t.Run("ignored", func(t *testing.T) {
		is := is.New(t)
		f := newPacePool(t, 2, pool.SlowdownIgnored)
		for range 5 {
			f.serve(ownPrompt(), 3, 0)
		}
		is.Equal(len(f.asked), 0)
		is.Equal(f.figures().Slow, 0)
	})
}

// TestRefusesBySpeed looks that a first try is refused at once that the engine can't read in
// time, behind what it has, at its pace.
func TestRefusesBySpeed(t *testing.T) {
	for _, row := range []struct {
		name    string
		pace    float64
		refused bool
	}{
		{"usual", 1, false},
		{"slow", 3.5, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			f := newPacePool(t, 1, pool.SlowdownQueriedOrEstimated)
			f.tells["e0"] = row.pace
			f.serve(f.on("e0"), row.pace, 0)
			f.place(prompt("", 100_000, 10*time.Second))
			_, r, _ := f.pool.Submit(prompt("r", 50_000, 2800*time.Millisecond)).Decision()
			is.Equal(r != nil, row.refused)
		})
	}
}

// TestNotAsked looks that engines which get nothing new aren't asked either.
func TestNotAsked(t *testing.T) {
	for _, row := range []struct {
		name string
		bar  func(s *catalog.Snapshot, e *catalog.Endpoint)
		// asked is how often the engine is.
		asked int
	}{
		{"nothing said", func(*catalog.Snapshot, *catalog.Endpoint) {}, 1},
		{"leaving", func(_ *catalog.Snapshot, e *catalog.Endpoint) { e.Leaving = true }, 0},
		{"failure domain emptied", func(s *catalog.Snapshot, e *catalog.Endpoint) {
			s.Drained = map[string]time.Time{
				e.FailureDomain: time.Now(),
			}
		}, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			f := newPacePool(t, 2, pool.SlowdownQueriedOrEstimated)
			g, id := f.place(ownPrompt())
			e := f.snap.Endpoints[g.Instance]
			row.bar(f.snap, &e)
			f.snap.Endpoints[g.Instance] = e
			f.pool.Update(f.snap)
			f.rest(3 * g.FirstEventIn)
			f.pool.First(id, "engines")
			is.Equal(f.asked[g.Instance], row.asked)
		})
	}
}

// TestPaceOfAnotherLife looks that an engine that starts again under its name begins anew,
// and that what its life before told, or tells late, doesn't count.
func TestPaceOfAnotherLife(t *testing.T) {
	born := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	start := func(f *pacePool, at time.Time) {
		e := f.snap.Endpoints["e0"]
		e.StartedAt = at
		f.snap.Endpoints["e0"] = e
		f.pool.Update(f.snap)
	}
	for _, row := range []struct {
		name string
		// late states that the answer comes after the new start.
		late bool
	}{
		{"told before", false},
		{"told late", true},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			f := newPacePool(t, 2, pool.SlowdownQueriedOrEstimated)
			start(f, born)
			f.tells["e0"] = 3
			_, id := f.place(f.on("e0"))
			f.rest(400 * time.Millisecond)
			f.pool.First(id, "engines")
			is.Equal(f.asked["e0"], 1)
			if !row.late {
				f.answer()
				is.Equal(f.figures().Slow, 1)
			}
			start(f, born.Add(time.Minute))
			f.answer()
			is.Equal(f.figures().Slow, 0)
		})
	}
}
