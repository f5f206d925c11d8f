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

// The service of a coldHarness: a cold endpoint sustains 10 requests a second, and must get at
// most 17 in any second.
const (
	coldRate         = 10
	coldOverage      = 1.2
	coldSlack        = 5
	coldMaxPerSecond = coldRate*coldOverage + coldSlack
)

// coldHarness is a number of instances that place requests on endpoints of which some are cold.
type coldHarness struct {
	t          *testing.T
	now        time.Time
	snap       *catalog.Snapshot
	schedulers []*Scheduler
	// placements holds the times of the placements by endpoint.
	placements map[string][]time.Time
	count      int
}

// newColdHarness returns instances that know warm endpoints with 100 slots each.
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
		placements: make(map[string][]time.Time),
	}
	for i := range instances {
		id := fmt.Sprintf("n%d", i)
		w.snap.Peers[id] = catalog.Peer{
			ID: id,
		}
	}
	for i := range endpoints {
		w.setEndpoint(fmt.Sprintf("e%d", i), "engines", 0)
		w.setEndpoint(fmt.Sprintf("p%d", i), "plain", 0)
	}
	for i := range instances {
		s := NewScheduler(Settings{
			Self: fmt.Sprintf("n%d", i),
			Cold: limit,
			Now:  func() time.Time { return w.now },
		}, logr.Discard())
		w.schedulers = append(w.schedulers, s)
	}
	w.update()
	return w
}

// defaultLimit returns the limit that most tests use.
func defaultLimit() ColdLimit {
	return ColdLimit{
		Overage: coldOverage,
		Slack:   coldSlack,
	}
}

// setEndpoint sets the catalog entry of an endpoint that is cold for the given time.
func (w *coldHarness) setEndpoint(name, service string, cold time.Duration) {
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

// update applies the snapshot to all instances.
func (w *coldHarness) update() {
	for _, s := range w.schedulers {
		s.Update(w.snap)
	}
}

// request returns a request with a new id.
func (w *coldHarness) request(service string) PlacementRequest {
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

// place lets an instance place a request if that is possible at once, and the listeners adopt
// the attempt. It returns the endpoint, or "".
func (w *coldHarness) place(s *Scheduler, a PlacementRequest, fallback bool, listeners ...*Scheduler) string {
	w.t.Helper()
	wait := s.submit(a, fallback)
	g, _, ok := wait.Decision()
	if !ok || g.Instance == "" {
		s.Withdraw(wait)
		return ""
	}
	for _, other := range listeners {
		other.Adopt(a, g, false)
	}
	w.placements[g.Instance] = append(w.placements[g.Instance], w.now)
	return g.Instance
}

// assertLimit checks that no endpoint gets more requests than limit in any second, if requests
// take a random time of up to maxDelay to arrive.
func (w *coldHarness) assertLimit(limit float64, maxDelay time.Duration) {
	w.t.Helper()
	random := rand.New(rand.NewPCG(1, 2))
	for name, placements := range w.placements {
		arrivals := make([]time.Time, 0, len(placements))
		for _, at := range placements {
			arrivals = append(arrivals, at.Add(time.Duration(random.Int64N(int64(maxDelay)+1))))
		}
		slices.SortFunc(arrivals, time.Time.Compare)
		for i, from := range arrivals {
			n := 0
			for _, at := range arrivals[i:] {
				if at.Sub(from) < time.Second {
					n++
				}
			}
			if float64(n) > limit {
				w.t.Fatalf("%s got %d requests in a second, limit %g", name, n, limit)
			}
		}
	}
}

// TestColdLimitOfAllInstances checks the limit while two owners and all instances that reach no
// owner place as many requests as they may. The second owner adopts the attempts of the first.
func TestColdLimitOfAllInstances(t *testing.T) {
	is := is.New(t)
	w := newColdHarness(t, 40, 3, defaultLimit())
	for i := range 3 {
		w.setEndpoint(fmt.Sprintf("e%d", i), "engines", time.Minute)
	}
	w.update()
	owner, next := w.schedulers[0], w.schedulers[1]
	for range 200 {
		w.now = w.now.Add(20 * time.Millisecond)
		for range 4 {
			w.place(next, w.request("engines"), false)
			w.place(owner, w.request("engines"), false, next)
		}
		for _, s := range w.schedulers[2:] {
			w.place(s, w.request("engines"), true, owner, next)
		}
	}
	w.assertLimit(coldMaxPerSecond, coldWindow-time.Second)
	is.Equal(len(w.placements), 3)
	for _, placements := range w.placements {
		is.True(len(placements) >= 4*coldRate/2) // half of what it sustains in four seconds
	}
}

// TestColdLimitOfSuccessiveOwners checks that owners that take over from each other within a second
// together keep to the limit of one owner, if each knows the attempts of the previous ones.
func TestColdLimitOfSuccessiveOwners(t *testing.T) {
	w := newColdHarness(t, 6, 1, defaultLimit())
	w.setEndpoint("e0", "engines", time.Minute)
	w.update()
	for i, owner := range w.schedulers {
		for range coldRate {
			w.place(owner, w.request("engines"), false, w.schedulers[i+1:]...)
		}
		w.now = w.now.Add(50 * time.Millisecond)
	}
	w.assertLimit(coldMaxPerSecond*coldOwnerShare, 0)
}

// TestColdLimitWithoutOwner checks that instances that reach no owner keep to their common part
// of the limit, and that most of them get a share.
func TestColdLimitWithoutOwner(t *testing.T) {
	is := is.New(t)
	w := newColdHarness(t, 40, 20, defaultLimit())
	for i := range 20 {
		w.setEndpoint(fmt.Sprintf("e%d", i), "engines", time.Minute)
	}
	w.update()
	served := make(map[string]bool)
	for range 100 {
		w.now = w.now.Add(20 * time.Millisecond)
		for _, s := range w.schedulers {
			if w.place(s, w.request("engines"), true) != "" {
				served[s.settings.Self] = true
			}
		}
	}
	w.assertLimit(coldMaxPerSecond*coldFallbackShare, 0)
	is.Equal(len(w.placements), 20)
	is.True(len(served) > 30) // most instances have a share of some endpoint
}

// TestColdLimitOfPlainEndpoints checks the limit of cold plain endpoints, on which all
// instances place without an owner.
func TestColdLimitOfPlainEndpoints(t *testing.T) {
	for _, instances := range []int{1, 7, 40} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			is := is.New(t)
			w := newColdHarness(t, instances, 3, defaultLimit())
			for i := range 3 {
				w.setEndpoint(fmt.Sprintf("p%d", i), "plain", time.Minute)
			}
			w.update()
			for range 200 {
				w.now = w.now.Add(10 * time.Millisecond)
				for _, s := range w.schedulers {
					w.place(s, w.request("plain"), false)
				}
			}
			w.assertLimit(coldMaxPerSecond, coldWindow-time.Second)
			is.Equal(len(w.placements), 3)
			for _, placements := range w.placements {
				is.True(len(placements) >= coldRate)
			}
		})
	}
}

// TestWarmEndpointsTakeTheRest checks that no request is refused if half of the engines are
// cold and at their limits, and the others have room.
func TestWarmEndpointsTakeTheRest(t *testing.T) {
	is := is.New(t)
	w := newColdHarness(t, 1, 4, defaultLimit())
	w.setEndpoint("e0", "engines", time.Minute)
	w.setEndpoint("e1", "engines", time.Minute)
	w.update()
	for range 100 {
		w.now = w.now.Add(10 * time.Millisecond)
		is.True(w.place(w.schedulers[0], w.request("engines"), false) != "")
	}
	cold := len(w.placements["e0"]) + len(w.placements["e1"])
	delete(w.placements, "e2")
	delete(w.placements, "e3")
	w.assertLimit(coldMaxPerSecond, coldWindow-time.Second)
	is.True(cold >= 10)     // the cold engines take their limit
	is.True(100-cold >= 80) // the warm ones take the rest
}

// TestWarmEndpointTurnsCold checks that the placements on a warm endpoint count when it turns
// cold.
func TestWarmEndpointTurnsCold(t *testing.T) {
	is := is.New(t)
	w := newColdHarness(t, 1, 1, defaultLimit())
	s := w.schedulers[0]
	for range 30 {
		is.Equal(w.place(s, w.request("engines"), false), "e0") // no limit while warm
	}
	w.setEndpoint("e0", "engines", 2*time.Second)
	w.update()
	is.Equal(w.place(s, w.request("engines"), false), "")
	w.now = w.now.Add(coldWindow)
	is.Equal(w.place(s, w.request("engines"), false), "e0")
	w.now = w.now.Add(time.Second)
	for range 30 {
		is.Equal(w.place(s, w.request("engines"), false), "e0") // warm again
	}
}

// TestAssumedRestartIsCold checks that endpoints which may have restarted without a new catalog
// entry are limited like cold ones.
func TestAssumedRestartIsCold(t *testing.T) {
	for _, row := range []struct {
		name    string
		restart func(w *coldHarness)
	}{
		{"its failure domain is undrained", func(w *coldHarness) {
			w.snap.Drained = map[string]time.Time{"d-e0": w.now}
			w.update()
			w.snap.Drained = nil
			w.update()
		}},
		{"it failed and is probed", func(w *coldHarness) {
			for i := range toleratedFailures + 2 {
				a := w.request("engines")
				w.place(w.schedulers[0], a, false)
				w.schedulers[0].EndFrom(a.ID, "engines", Unreachable, "", fmt.Sprint("m", i))
			}
			w.now = w.now.Add(maxEjection)
			a := w.request("engines")
			w.place(w.schedulers[0], a, false)
			w.schedulers[0].FirstEvent(a.ID, "engines")
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			w := newColdHarness(t, 1, 1, defaultLimit())
			row.restart(w)
			clear(w.placements)
			for range 100 {
				w.now = w.now.Add(10 * time.Millisecond)
				w.place(w.schedulers[0], w.request("engines"), false)
			}
			w.assertLimit(coldMaxPerSecond, coldWindow-time.Second)
			w.now = w.now.Add(3 * time.Second)
			clear(w.placements)
			for range 50 {
				is.New(t).Equal(w.place(w.schedulers[0], w.request("engines"), false), "e0") // warm again
			}
		})
	}
}

// TestRequestWaitsForColdEndpoint checks that a request waits until the limit of the only
// endpoint allows it.
func TestRequestWaitsForColdEndpoint(t *testing.T) {
	for _, service := range []string{"engines", "plain"} {
		t.Run(service, func(t *testing.T) {
			is := is.New(t)
			w := newColdHarness(t, 1, 1, defaultLimit())
			w.setEndpoint("e0", "engines", time.Minute)
			w.setEndpoint("p0", "plain", time.Minute)
			w.update()
			s := w.schedulers[0]
			for range 2 * coldRate {
				w.place(s, w.request(service), false)
			}
			a := w.request(service)
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

// TestRefusedWhileAllAreCold checks that a request is refused at once if no endpoint may get it
// before the request would have waited too long.
func TestRefusedWhileAllAreCold(t *testing.T) {
	for _, service := range []string{"engines", "plain"} {
		t.Run(service, func(t *testing.T) {
			is := is.New(t)
			w := newColdHarness(t, 1, 1, defaultLimit())
			w.setEndpoint("e0", "engines", time.Minute)
			w.setEndpoint("p0", "plain", time.Minute)
			w.update()
			s := w.schedulers[0]
			for range 2 * coldRate {
				w.place(s, w.request(service), false)
			}
			a := w.request(service)
			a.Deadline = coldWindow
			a.Returning = true
			_, r, ok := s.Submit(a).Decision()
			is.True(ok)
			is.True(r != nil)
			is.True(r.RetryAfter >= coldWindow)
		})
	}
}

// TestColdEngineHelpsWithPrefill checks that a cold engine at its limit still helps with the
// prefill of another engine's request.
func TestColdEngineHelpsWithPrefill(t *testing.T) {
	is := is.New(t)
	w := newColdHarness(t, 1, 2, defaultLimit())
	w.setEndpoint("e0", "engines", time.Minute)
	w.update()
	s := w.schedulers[0]
	for range 100 {
		w.place(s, w.request("engines"), false)
	}
	a := w.request("engines")
	a.Prompt = 6_000_000
	a.Target = 500 * time.Millisecond
	g, _, ok := s.Submit(a).Decision()
	is.True(ok)
	is.Equal(g.Instance, "e1")
	is.Equal(len(g.Shares), 1)
}

// TestNoColdLimit checks that cold endpoints are not limited without a ColdLimit.
func TestNoColdLimit(t *testing.T) {
	is := is.New(t)
	w := newColdHarness(t, 1, 1, ColdLimit{})
	w.setEndpoint("e0", "engines", time.Minute)
	w.update()
	for range 50 {
		is.Equal(w.place(w.schedulers[0], w.request("engines"), false), "e0")
	}
}

// TestColdStats checks the statistics about cold endpoints.
func TestColdStats(t *testing.T) {
	is := is.New(t)
	w := newColdHarness(t, 1, 2, defaultLimit())
	w.setEndpoint("e0", "engines", time.Second)
	w.update()
	for range 30 {
		w.place(w.schedulers[0], w.request("engines"), false)
	}
	stats := w.schedulers[0].Stats()["engines"]
	is.Equal(stats.Cold, 1)
	is.True(stats.ColdPassedOver > 0)
	w.now = w.now.Add(2 * time.Second)
	is.Equal(w.schedulers[0].Stats()["engines"].Cold, 0)
}
