// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/route"
)

// The service of a coldWorld: a cold endpoint bears 10 requests a second, and must get
// fewer than 17 in any second.
const (
	coldRate    = 10
	coldOverage = 1.2
	coldSlack   = 5
	coldBound   = coldRate*coldOverage + coldSlack
)

// coldHarness is some instances that place on endpoints of which some are cold.
type coldHarness struct {
	t    *testing.T
	now  time.Time
	snap *catalog.Snapshot
	all  []*Scheduler
	// given are when each endpoint was given requests.
	given map[string][]time.Time
	count int
}

// newColdHarness returns instances that know endpoints with 100 slots each, which are warm.
func newColdHarness(t *testing.T, instances, endpoints int, limit ColdLimit) *coldHarness {
	t.Helper()
	w := &coldHarness{
		t:   t,
		now: time.Unix(1_700_000_000, 0),
		snap: &catalog.Snapshot{
			Table: route.New(1, nil, []route.Service{
				{
					Name:          "engines",
					ColdPerSecond: coldRate,
					ColdStart:     3 * time.Second,
					Engine: &batch.Model{
						Slots:            100,
						Capacity:         10_000_000,
						StepsPerPass:     10,
						Step:             time.Millisecond,
						PrefillPerSecond: 10_000_000,
					},
				},
				{
					Name:          "plain",
					ColdPerSecond: coldRate,
					ColdStart:     3 * time.Second,
				},
			}, nil, false, route.Limits{}),
			Endpoints: make(map[string]catalog.Endpoint),
			Peers:     make(map[string]catalog.Peer),
		},
		given: make(map[string][]time.Time),
	}
	for i := range instances {
		id := fmt.Sprintf("n%d", i)
		w.snap.Peers[id] = catalog.Peer{
			ID: id,
		}
	}
	for i := range endpoints {
		w.enter(fmt.Sprintf("e%d", i), "engines", 0)
		w.enter(fmt.Sprintf("p%d", i), "plain", 0)
	}
	for i := range instances {
		s := NewScheduler(Settings{
			Self: fmt.Sprintf("n%d", i),
			Cold: limit,
			Now:  func() time.Time { return w.now },
		}, logr.Discard())
		w.all = append(w.all, s)
	}
	w.update()
	return w
}

// defaultLimit is the bound of most tests.
func defaultLimit() ColdLimit {
	return ColdLimit{
		Overage: coldOverage,
		Slack:   coldSlack,
	}
}

// enter sets the entry of an endpoint that is cold for a time.
func (w *coldHarness) enter(name, service string, cold time.Duration) {
	e := catalog.Endpoint{
		Instance:      name,
		Service:       service,
		FailureDomain: "d-" + name,
		Slots:         100,
	}
	if cold > 0 {
		e.ColdUntil = w.now.Add(cold)
	}
	w.snap.Endpoints[name] = e
}

// update tells all instances what is known.
func (w *coldHarness) update() {
	for _, s := range w.all {
		s.Update(w.snap)
	}
}

// ask returns a request that has an id of its own.
func (w *coldHarness) ask(service string) PlacementRequest {
	w.count++
	return PlacementRequest{
		ID:       fmt.Sprint("a", w.count),
		Service:  service,
		Prompt:   100,
		Output:   10,
		Target:   300 * time.Millisecond,
		Deadline: 10 * time.Second,
	}
}

// place lets an instance place a request if there is a place at once, and tells those who
// hear of it. It returns the endpoint, or "".
func (w *coldHarness) place(s *Scheduler, a PlacementRequest, alone bool, hear ...*Scheduler) string {
	w.t.Helper()
	wait := s.submit(a, alone)
	g, _, ok := wait.Decision()
	if !ok || g.Instance == "" {
		s.Withdraw(wait)
		return ""
	}
	for _, other := range hear {
		other.Adopt(a, g, false)
	}
	w.given[g.Instance] = append(w.given[g.Instance], w.now)
	return g.Instance
}

// assertBound looks that no endpoint gets more than the bound in any second, when its
// requests need up to most to reach it.
func (w *coldHarness) assertBound(bound float64, most time.Duration) {
	w.t.Helper()
	random := rand.New(rand.NewPCG(1, 2))
	for name, given := range w.given {
		arrivals := make([]time.Time, 0, len(given))
		for _, at := range given {
			arrivals = append(arrivals, at.Add(time.Duration(random.Int64N(int64(most)+1))))
		}
		slices.SortFunc(arrivals, time.Time.Compare)
		for i, from := range arrivals {
			n := 0
			for _, at := range arrivals[i:] {
				if at.Sub(from) < time.Second {
					n++
				}
			}
			if float64(n) > bound {
				w.t.Fatalf("%s got %d requests in a second, may get %g", name, n, bound)
			}
		}
	}
}

// TestColdSum lets an owner, the next one, which acts at the same time and hears of what
// the first does, and all others, that place alone, give as much as they may to cold
// endpoints.
func TestColdSum(t *testing.T) {
	is := is.New(t)
	w := newColdHarness(t, 40, 3, defaultLimit())
	for i := range 3 {
		w.enter(fmt.Sprintf("e%d", i), "engines", time.Minute)
	}
	w.update()
	owner, next := w.all[0], w.all[1]
	for range 200 {
		w.now = w.now.Add(20 * time.Millisecond)
		for range 4 {
			w.place(next, w.ask("engines"), false)
			w.place(owner, w.ask("engines"), false, next)
		}
		for _, s := range w.all[2:] {
			w.place(s, w.ask("engines"), true, owner, next)
		}
	}
	w.assertBound(coldBound, coldWindow-time.Second)
	is.Equal(len(w.given), 3)
	for _, given := range w.given {
		is.True(len(given) >= 4*coldRate/2) // four seconds at half of what it bears
	}
}

// TestColdOwners lets one owner follow the other in the same second, each of which has
// heard of what those before it gave.
func TestColdOwners(t *testing.T) {
	w := newColdHarness(t, 6, 1, defaultLimit())
	w.enter("e0", "engines", time.Minute)
	w.update()
	for i, owner := range w.all {
		for range coldRate {
			w.place(owner, w.ask("engines"), false, w.all[i+1:]...)
		}
		w.now = w.now.Add(50 * time.Millisecond)
	}
	w.assertBound(coldBound*coldOwnerShare, 0)
}

// TestColdAlone lets only instances place that have no owner to ask.
func TestColdAlone(t *testing.T) {
	is := is.New(t)
	w := newColdHarness(t, 40, 20, defaultLimit())
	for i := range 20 {
		w.enter(fmt.Sprintf("e%d", i), "engines", time.Minute)
	}
	w.update()
	served := make(map[string]bool)
	for range 100 {
		w.now = w.now.Add(20 * time.Millisecond)
		for _, s := range w.all {
			if w.place(s, w.ask("engines"), true) != "" {
				served[s.settings.Self] = true
			}
		}
	}
	w.assertBound(coldBound*coldFallbackShare, 0)
	is.Equal(len(w.given), 20)
	is.True(len(served) > 30) // most instances have a part at some endpoint
}

// TestColdPlain lets all instances place on cold endpoints that have no owner.
func TestColdPlain(t *testing.T) {
	for _, instances := range []int{1, 7, 40} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			is := is.New(t)
			w := newColdHarness(t, instances, 3, defaultLimit())
			for i := range 3 {
				w.enter(fmt.Sprintf("p%d", i), "plain", time.Minute)
			}
			w.update()
			for range 200 {
				w.now = w.now.Add(10 * time.Millisecond)
				for _, s := range w.all {
					w.place(s, w.ask("plain"), false)
				}
			}
			w.assertBound(coldBound, coldWindow-time.Second)
			is.Equal(len(w.given), 3)
			for _, given := range w.given {
				is.True(len(given) >= coldRate)
			}
		})
	}
}

// TestColdHalf lets half of the engines be cold under more than they may take: the others
// get the rest, and nobody is refused.
func TestColdHalf(t *testing.T) {
	is := is.New(t)
	w := newColdHarness(t, 1, 4, defaultLimit())
	w.enter("e0", "engines", time.Minute)
	w.enter("e1", "engines", time.Minute)
	w.update()
	for range 100 {
		w.now = w.now.Add(10 * time.Millisecond)
		is.True(w.place(w.all[0], w.ask("engines"), false) != "")
	}
	cold := len(w.given["e0"]) + len(w.given["e1"])
	delete(w.given, "e2")
	delete(w.given, "e3")
	w.assertBound(coldBound, coldWindow-time.Second)
	is.True(cold >= 10)     // they take what they may,
	is.True(100-cold >= 80) // and the others the rest
}

// TestColdAgain lets a warm endpoint turn cold that was given much just before.
func TestColdAgain(t *testing.T) {
	is := is.New(t)
	w := newColdHarness(t, 1, 1, defaultLimit())
	s := w.all[0]
	for range 30 {
		is.Equal(w.place(s, w.ask("engines"), false), "e0") // no bound while warm
	}
	w.enter("e0", "engines", 2*time.Second)
	w.update()
	is.Equal(w.place(s, w.ask("engines"), false), "")
	w.now = w.now.Add(coldWindow)
	is.Equal(w.place(s, w.ask("engines"), false), "e0")
	w.now = w.now.Add(time.Second)
	for range 30 {
		is.Equal(w.place(s, w.ask("engines"), false), "e0") // it is warm again
	}
}

// TestColdReturns looks at endpoints that may have started without saying so: they are
// given as little as cold ones.
func TestColdReturns(t *testing.T) {
	for _, row := range []struct {
		name    string
		returns func(w *coldHarness)
	}{
		{"its failure domain is restored", func(w *coldHarness) {
			w.snap.Drained = map[string]time.Time{"d-e0": w.now}
			w.update()
			w.snap.Drained = nil
			w.update()
		}},
		{"it failed", func(w *coldHarness) {
			for i := range toleratedFailures + 2 {
				a := w.ask("engines")
				w.place(w.all[0], a, false)
				w.all[0].EndFrom(a.ID, "engines", Unreachable, "", fmt.Sprint("m", i))
			}
			w.now = w.now.Add(maxEjection)
			a := w.ask("engines")
			w.place(w.all[0], a, false)
			w.all[0].First(a.ID, "engines")
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			w := newColdHarness(t, 1, 1, defaultLimit())
			row.returns(w)
			clear(w.given)
			for range 100 {
				w.now = w.now.Add(10 * time.Millisecond)
				w.place(w.all[0], w.ask("engines"), false)
			}
			w.assertBound(coldBound, coldWindow-time.Second)
			w.now = w.now.Add(3 * time.Second)
			clear(w.given)
			for range 50 {
				is.New(t).Equal(w.place(w.all[0], w.ask("engines"), false), "e0") // its time is over
			}
		})
	}
}

// TestColdWaits lets a request wait that may be served once the only endpoint may get more.
func TestColdWaits(t *testing.T) {
	for _, service := range []string{"engines", "plain"} {
		t.Run(service, func(t *testing.T) {
			is := is.New(t)
			w := newColdHarness(t, 1, 1, defaultLimit())
			w.enter("e0", "engines", time.Minute)
			w.enter("p0", "plain", time.Minute)
			w.update()
			s := w.all[0]
			for range 2 * coldRate {
				w.place(s, w.ask(service), false)
			}
			a := w.ask(service)
			a.Target = 3 * time.Second
			wait := s.Submit(a)
			_, _, ok := wait.Decision()
			is.True(!ok)
			w.now = w.now.Add(coldWindow)
			s.Review()
			g, _, ok := wait.Decision()
			is.True(ok)
			is.True(g.Instance != "")
		})
	}
}

// TestColdInVain looks that a request that no endpoint may get before its caller has
// waited too long is refused at once.
func TestColdInVain(t *testing.T) {
	for _, service := range []string{"engines", "plain"} {
		t.Run(service, func(t *testing.T) {
			is := is.New(t)
			w := newColdHarness(t, 1, 1, defaultLimit())
			w.enter("e0", "engines", time.Minute)
			w.enter("p0", "plain", time.Minute)
			w.update()
			s := w.all[0]
			for range 2 * coldRate {
				w.place(s, w.ask(service), false)
			}
			a := w.ask(service)
			a.Deadline = coldWindow
			a.Returning = true
			_, r, ok := s.Submit(a).Decision()
			is.True(ok)
			is.True(r != nil)
			is.True(r.RetryAfter >= coldWindow)
		})
	}
}

// TestColdReader looks that a cold engine that gets no request may still help to read: its
// part is no request to it.
func TestColdReader(t *testing.T) {
	is := is.New(t)
	w := newColdHarness(t, 1, 2, defaultLimit())
	w.enter("e0", "engines", time.Minute)
	w.update()
	s := w.all[0]
	for range 100 {
		w.place(s, w.ask("engines"), false)
	}
	a := w.ask("engines")
	a.Prompt = 6_000_000
	a.Target = 500 * time.Millisecond
	g, _, ok := s.Submit(a).Decision()
	is.True(ok)
	is.Equal(g.Instance, "e1")
	is.Equal(len(g.Shares), 1)
}

// TestColdUnbound looks that endpoints get what they can where the settings or the
// configuration set no bound.
func TestColdUnbound(t *testing.T) {
	is := is.New(t)
	w := newColdHarness(t, 1, 1, ColdLimit{})
	w.enter("e0", "engines", time.Minute)
	w.update()
	for range 50 {
		is.Equal(w.place(w.all[0], w.ask("engines"), false), "e0")
	}
}

// TestColdFigures looks at what operators see.
func TestColdFigures(t *testing.T) {
	is := is.New(t)
	w := newColdHarness(t, 1, 2, defaultLimit())
	w.enter("e0", "engines", time.Second)
	w.update()
	for range 30 {
		w.place(w.all[0], w.ask("engines"), false)
	}
	f := w.all[0].Stats()["engines"]
	is.Equal(f.Cold, 1)
	is.True(f.ColdPassedOver > 0)
	w.now = w.now.Add(2 * time.Second)
	is.Equal(w.all[0].Stats()["engines"].Cold, 0)
}
