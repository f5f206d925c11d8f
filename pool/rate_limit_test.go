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
	"github.com/linkmast/linkmast/notice"
	"github.com/linkmast/linkmast/route"
)

// The documented bound on the requests to an endpoint with a rate limit: in any statedWindow,
// statedFactor times the requests that the limit allows, plus statedSlack.
const (
	statedWindow = 4 * time.Second
	statedFactor = 1.5
	statedSlack  = 5
)

// maxInWindow returns the greatest number of times within a window of the given length.
func maxInWindow(at []time.Time, window time.Duration) int {
	most := 0
	for _, end := range at {
		n := 0
		for _, one := range at {
			if !one.After(end) && one.After(end.Add(-window)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// statedBound returns how many requests the stated bound allows in a statedWindow.
func statedBound(rate float64) int {
	return int(statedFactor*rate*statedWindow.Seconds()) + statedSlack
}

// assertStatedBound checks that requests at the given times keep to the stated bound of a rate
// limit.
func assertStatedBound(t *testing.T, at []time.Time, rate float64) {
	t.Helper()
	got := maxInWindow(at, statedWindow)
	t.Logf("%d requests in %v, %d allowed", got, statedWindow, statedBound(rate))
	is.New(t).True(got <= statedBound(rate))
}

// TestPlacementTimesKeepRate checks that placements at the times that next allows neither
// exceed a rate limit nor waste it.
func TestPlacementTimesKeepRate(t *testing.T) {
	for _, rate := range []float64{0.1, 0.3, 0.45, 0.7, 1, 1.8, 3, 10, 50} {
		for _, offered := range []float64{2, 20} {
			t.Run(fmt.Sprint(rate, " offered ", offered), func(t *testing.T) {
				draw := rand.New(rand.NewPCG(1, uint64(rate*100)))
				now := time.Unix(0, 0)
				begin, lasts := now, seconds(max(200/rate, 60))
				var a placementTimes
				var at []time.Time
				for now.Before(begin.Add(lasts)) {
					now = now.Add(seconds(draw.ExpFloat64() / rate / offered))
					if a.next(rate).After(now) {
						continue
					}
					a.add(now)
					at = append(at, now)
				}
				assertStatedBound(t, at, rate)
				used := float64(len(at)) / lasts.Seconds() / rate
				t.Logf("used %.2f of the limit", used)
				is.New(t).True(used <= 1.05)
				// The expected use with gaps of 1/rate and requests that arrive at random.
				expected := offered / (1 + offered)
				is.New(t).True(used >= 0.9*expected)
				is.New(t).True(float64(len(a.at)) <= rateWindow.Seconds()*rate+2)
			})
		}
	}
}

// rateLimitHarness is a number of instances that place requests on the endpoints of one
// service, with a common clock.
type rateLimitHarness struct {
	t         *testing.T
	now       time.Time
	instances []*Scheduler
	// placements holds the times of the placements by endpoint.
	placements map[string][]time.Time
	count      int
}

// newRateLimitHarness returns instances that know the given number of endpoints. A nil model
// makes the endpoints plain.
func newRateLimitHarness(t *testing.T, instances, endpoints int, m *batch.Model) *rateLimitHarness {
	t.Helper()
	w := &rateLimitHarness{
		t:          t,
		now:        time.Unix(1_000_000, 0),
		placements: make(map[string][]time.Time),
	}
	snap := &catalog.Snapshot{
		Table:     route.New(1, nil, []route.Service{{Name: "s", Engine: m}}, nil, false, route.Limits{}),
		Endpoints: make(map[string]catalog.Endpoint),
		Peers:     make(map[string]catalog.Peer),
	}
	for i := range endpoints {
		name := fmt.Sprint("e", i)
		snap.Endpoints[name] = catalog.Endpoint{
			Instance: name,
			Service:  "s",
			Address:  name + ":1",
			Slots:    16,
		}
	}
	for i := range instances {
		snap.Peers[fmt.Sprint("n", i)] = catalog.Peer{}
	}
	for i := range instances {
		draw := rand.New(rand.NewPCG(uint64(i), 7))
		s := NewScheduler(Settings{
			Self: fmt.Sprint("n", i),
			Now:  func() time.Time { return w.now },
			Draw: func(below time.Duration) time.Duration { return 1 + time.Duration(draw.Int64N(int64(below))) },
		}, logr.Discard())
		s.Update(snap)
		w.instances = append(w.instances, s)
	}
	return w
}

// setLimit makes all instances know a rate limit of the named endpoints.
func (w *rateLimitHarness) setLimit(rate float64, names ...string) {
	for _, s := range w.instances {
		for _, name := range names {
			s.settings.Notices.ApplyNotice(notice.Notice{
				Instance: name,
				Limited:  true,
				Rate:     rate,
				Revision: 1,
			})
		}
	}
}

// request submits a request to one instance. It ends the attempt at once, or withdraws the request
// if it is queued. It returns the refusal, if any, and whether there was a decision at once.
func (w *rateLimitHarness) request(s *Scheduler, fallback bool) (*Refusal, bool) {
	w.count++
	id := fmt.Sprint("r", w.count)
	x := s.submit(PlacementRequest{
		ID:       id,
		Service:  "s",
		Prompt:   100,
		Output:   10,
		Target:   300 * time.Millisecond,
		Deadline: 4 * time.Second,
	}, fallback)
	g, r, decided := x.Decision()
	switch {
	case !decided:
		s.Withdraw(x)
	case r == nil:
		w.placements[g.Instance] = append(w.placements[g.Instance], w.now)
		s.End(id, "s", Served, "")
	}
	return r, decided
}

// run advances the clock by d in steps of a millisecond and calls each after every step.
func (w *rateLimitHarness) run(d time.Duration, each func(ms int)) {
	for ms := range int(d.Milliseconds()) {
		w.now = w.now.Add(time.Millisecond)
		each(ms)
	}
}

// idleModel returns the model of an engine that is so fast that it is never busy.
func idleModel() *batch.Model {
	return &batch.Model{
		Slots:            16,
		Capacity:         1e9,
		StepsPerPass:     1,
		Step:             time.Microsecond,
		PrefillPerSecond: 1e9,
	}
}

// TestOwnerKeepsRateLimit checks that an owner under load keeps the rate limit of one of two
// endpoints and uses most of it. A grace period after the limit becomes known does not count.
func TestOwnerKeepsRateLimit(t *testing.T) {
	for name, model := range map[string]*batch.Model{
		"engines": idleModel(),
		"plain":   nil,
	} {
		for _, rate := range []float64{0.01, 0.5, 1, 1.8, 7} {
			t.Run(fmt.Sprint(name, " ", rate), func(t *testing.T) {
				w := newRateLimitHarness(t, 1, 2, model)
				each := func(ms int) {
					if ms%20 == 0 {
						r, decided := w.request(w.instances[0], false)
						is.New(t).True(decided && r == nil)
					}
				}
				w.run(time.Second, each)
				first := "e0"
				if len(w.placements["e1"]) > 0 {
					first = "e1"
				}
				w.setLimit(rate, first)
				named := w.now
				w.run(30*time.Second, each)
				graceOver := named.Add(3 * time.Second)
				after := slices.DeleteFunc(slices.Clone(w.placements[first]), func(at time.Time) bool { return at.Before(graceOver) })
				assertStatedBound(t, after, rate)
				is.New(t).True(float64(len(after)) >= 0.9*27*rate-1)
			})
		}
	}
}

// TestRefusedAtRateLimits checks that a request is refused at once if rate limits let no endpoint
// accept it in time, with a RetryAfter no shorter than the time until one accepts it.
func TestRefusedAtRateLimits(t *testing.T) {
	w := newRateLimitHarness(t, 1, 2, idleModel())
	w.setLimit(0.5, "e0", "e1")
	s := w.instances[0]
	for range 2 {
		r, decided := w.request(s, false)
		is.New(t).True(decided && r == nil)
	}
	r, decided := w.request(s, false)
	is.New(t).True(decided)
	is.New(t).True(r != nil)
	is.New(t).True(r.RetryAfter >= 2*time.Second)
	w.run(2*time.Second, func(int) {})
	r, decided = w.request(s, false)
	is.New(t).True(decided && r == nil)

	t.Run("waits for an endpoint that accepts it in time", func(t *testing.T) {
		w := newRateLimitHarness(t, 1, 1, idleModel())
		w.setLimit(10, "e0")
		s := w.instances[0]
		w.request(s, false)
		_, decided := w.request(s, false)
		is.New(t).True(!decided)
	})
	t.Run("waiting requests count", func(t *testing.T) {
		w := newRateLimitHarness(t, 1, 1, idleModel())
		w.setLimit(10, "e0")
		s := w.instances[0]
		w.request(s, false)
		refused := 0
		for i := range 20 {
			x := s.Submit(PlacementRequest{
				ID:       fmt.Sprint("q", i),
				Service:  "s",
				Target:   300 * time.Millisecond,
				Deadline: 4 * time.Second,
			})
			if _, r, _ := x.Decision(); r != nil {
				refused++
			}
		}
		t.Logf("%d of 20 refused", refused)
		is.New(t).True(refused >= 16 && refused < 20)
	})
}

// TestFallbackInstancesShareRateLimit guards against instances that reach no owner and exceed a
// rate limit together.
func TestFallbackInstancesShareRateLimit(t *testing.T) {
	for _, instances := range []int{3, 30, 300} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			w := newRateLimitHarness(t, instances, 1, idleModel())
			w.setLimit(2, "e0")
			w.run(20*time.Second, func(ms int) {
				if ms%10 == 0 {
					for _, s := range w.instances {
						w.request(s, true)
					}
				}
			})
			assertStatedBound(t, w.placements["e0"], 2)
			is.New(t).True(len(w.placements["e0"]) >= 10)
		})
	}
}

// TestOwnerChangeKeepsRateLimit checks the stated bound while a new owner, which doesn't know the
// previous placements, takes over.
func TestOwnerChangeKeepsRateLimit(t *testing.T) {
	for _, rate := range []float64{0.5, 1, 3, 10} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			w := newRateLimitHarness(t, 2, 1, idleModel())
			w.setLimit(rate, "e0")
			w.run(12*time.Second, func(ms int) {
				w.request(w.instances[ms/6000], false)
			})
			assertStatedBound(t, w.placements["e0"], rate)
		})
	}
}

// TestRestartEndsRateLimit checks that the rate limit of an endpoint ends when the endpoint
// restarts under its name.
func TestRestartEndsRateLimit(t *testing.T) {
	w := newRateLimitHarness(t, 1, 1, idleModel())
	s := w.instances[0]
	s.settings.Notices.ApplyNotice(notice.Notice{
		Instance:  "e0",
		StartedAt: w.now,
		Limited:   true,
		Revision:  1,
	})
	w.request(s, false)
	r, _ := w.request(s, false)
	is.New(t).True(r != nil)
	snap := &catalog.Snapshot{
		Table: route.New(2, nil, []route.Service{{Name: "s", Engine: idleModel()}}, nil, false, route.Limits{}),
		Endpoints: map[string]catalog.Endpoint{
			"e0": {
				Instance:  "e0",
				Service:   "s",
				Address:   "e0:1",
				Slots:     16,
				StartedAt: w.now.Add(time.Second),
			},
		},
	}
	s.Update(snap)
	for range 3 {
		r, decided := w.request(s, false)
		is.New(t).True(decided && r == nil)
	}
}

// BenchmarkUsableWithRateLimits measures the search for usable endpoints among 1000, of which some
// announce a rate limit.
func BenchmarkUsableWithRateLimits(b *testing.B) {
	for _, limited := range []int{0, 10, 1000} {
		b.Run(fmt.Sprint(limited, " of 1000"), func(b *testing.B) {
			w := newRateLimitHarness(&testing.T{}, 1, 1000, idleModel())
			for i := range limited {
				w.setLimit(2, fmt.Sprint("e", i))
			}
			p := w.instances[0].pools["s"]
			x := &Waiter{}
			for b.Loop() {
				p.usable(x, w.now)
			}
		})
	}
}
