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

// The bound that operators state for endpoints with a rate limit: in statedWindow, statedFactor
// times what the limit allows and statedSlack more.
const (
	statedWindow = 4 * time.Second
	statedFactor = 1.5
	statedSlack  = 5
)

// mostIn returns the greatest number of moments in some window, by the definition.
func mostIn(at []time.Time, window time.Duration) int {
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

// stated returns how many requests the stated bound allows.
func stated(rate float64) int {
	return int(statedFactor*rate*statedWindow.Seconds()) + statedSlack
}

// assertStated checks that requests keep to the stated bound of a rate limit.
func assertStated(t *testing.T, at []time.Time, rate float64) {
	t.Helper()
	got := mostIn(at, statedWindow)
	t.Logf("%d requests in %v, %d allowed", got, statedWindow, stated(rate))
	is.New(t).True(got <= stated(rate))
}

func TestArrivalsKeepToRate(t *testing.T) {
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
					a.note(now)
					at = append(at, now)
				}
				assertStated(t, at, rate)
				used := float64(len(at)) / lasts.Seconds() / rate
				t.Logf("used %.2f of the limit", used)
				is.New(t).True(used <= 1.05)
				// With gaps of 1/rate and requests that come at random.
				expected := offered / (1 + offered)
				is.New(t).True(used >= 0.9*expected)
				is.New(t).True(float64(len(a.at)) <= rateWindow.Seconds()*rate+2)
			})
		}
	}
}

// rateLimitHarness is some instances that place on endpoints of one service, on a common clock.
type rateLimitHarness struct {
	t         *testing.T
	now       time.Time
	instances []*Scheduler
	// given is when requests were placed, by endpoint.
	given map[string][]time.Time
	asked int
}

// newRateLimitHarness returns instances that know some endpoints; a nil model makes these plain.
func newRateLimitHarness(t *testing.T, instances, endpoints int, m *batch.Model) *rateLimitHarness {
	t.Helper()
	w := &rateLimitHarness{
		t:     t,
		now:   time.Unix(1_000_000, 0),
		given: make(map[string][]time.Time),
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

// limit has all instances know the rate limit of endpoints.
func (w *rateLimitHarness) limit(rate float64, names ...string) {
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

// ask asks one instance for a place and ends the attempt at once. It returns the decision, of
// which there may be none yet.
func (w *rateLimitHarness) ask(s *Scheduler, alone bool) (*Refusal, bool) {
	w.asked++
	id := fmt.Sprint("r", w.asked)
	x := s.submit(PlacementRequest{
		ID:       id,
		Service:  "s",
		Prompt:   100,
		Output:   10,
		Target:   300 * time.Millisecond,
		Deadline: 4 * time.Second,
	}, alone)
	g, r, decided := x.Decision()
	switch {
	case !decided:
		s.Withdraw(x)
	case r == nil:
		w.given[g.Instance] = append(w.given[g.Instance], w.now)
		s.End(id, "s", Served, "")
	}
	return r, decided
}

// run lets a time pass in steps of a millisecond.
func (w *rateLimitHarness) run(d time.Duration, each func(ms int)) {
	for ms := range int(d.Milliseconds()) {
		w.now = w.now.Add(time.Millisecond)
		each(ms)
	}
}

// rateModel is an engine that is never busy.
func rateModel() *batch.Model {
	return &batch.Model{
		Slots:            16,
		Capacity:         1e9,
		StepsPerPass:     1,
		Step:             time.Microsecond,
		PrefillPerSecond: 1e9,
	}
}

// TestOwnerKeepsRateLimit has an owner place many requests on engines and plain endpoints of
// which one names a limit, after a time without one.
func TestOwnerKeepsRateLimit(t *testing.T) {
	for name, model := range map[string]*batch.Model{
		"engines": rateModel(),
		"plain":   nil,
	} {
		for _, rate := range []float64{0.01, 0.5, 1, 1.8, 7} {
			t.Run(fmt.Sprint(name, " ", rate), func(t *testing.T) {
				w := newRateLimitHarness(t, 1, 2, model)
				each := func(ms int) {
					if ms%20 == 0 {
						r, decided := w.ask(w.instances[0], false)
						is.New(t).True(decided && r == nil)
					}
				}
				w.run(time.Second, each)
				first := "e0"
				if len(w.given["e1"]) > 0 {
					first = "e1"
				}
				w.limit(rate, first)
				named := w.now
				w.run(30*time.Second, each)
				graceOver := named.Add(3 * time.Second)
				after := slices.DeleteFunc(slices.Clone(w.given[first]), func(at time.Time) bool { return at.Before(graceOver) })
				assertStated(t, after, rate)
				is.New(t).True(float64(len(after)) >= 0.9*27*rate-1)
			})
		}
	}
}

// TestAllAtRateLimit looks that requests are refused at once when no endpoint takes them in time,
// with a time to come back at which one does.
func TestAllAtRateLimit(t *testing.T) {
	w := newRateLimitHarness(t, 1, 2, rateModel())
	w.limit(0.5, "e0", "e1")
	s := w.instances[0]
	for range 2 {
		r, decided := w.ask(s, false)
		is.New(t).True(decided && r == nil)
	}
	r, decided := w.ask(s, false)
	is.New(t).True(decided)
	is.New(t).True(r != nil)
	is.New(t).True(r.RetryAfter >= 2*time.Second)
	w.run(2*time.Second, func(int) {})
	r, decided = w.ask(s, false)
	is.New(t).True(decided && r == nil)

	t.Run("one that takes it in time is waited for", func(t *testing.T) {
		w := newRateLimitHarness(t, 1, 1, rateModel())
		w.limit(10, "e0")
		s := w.instances[0]
		w.ask(s, false)
		_, decided := w.ask(s, false)
		is.New(t).True(!decided)
	})
	t.Run("those that wait count", func(t *testing.T) {
		w := newRateLimitHarness(t, 1, 1, rateModel())
		w.limit(10, "e0")
		s := w.instances[0]
		w.ask(s, false)
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

// TestAloneShareRateLimit has many instances place alone on an endpoint with a limit.
func TestAloneShareRateLimit(t *testing.T) {
	for _, instances := range []int{3, 30, 300} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			w := newRateLimitHarness(t, instances, 1, rateModel())
			w.limit(2, "e0")
			w.run(20*time.Second, func(ms int) {
				if ms%10 == 0 {
					for _, s := range w.instances {
						w.ask(s, true)
					}
				}
			})
			assertStated(t, w.given["e0"], 2)
			is.New(t).True(len(w.given["e0"]) >= 10)
		})
	}
}

// TestOwnerChangeKeepsRateLimit has each of several owners take over from one of which it knows
// nothing.
func TestOwnerChangeKeepsRateLimit(t *testing.T) {
	for _, rate := range []float64{0.5, 1, 3, 10} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			w := newRateLimitHarness(t, 2, 1, rateModel())
			w.limit(rate, "e0")
			w.run(12*time.Second, func(ms int) {
				w.ask(w.instances[ms/6000], false)
			})
			assertStated(t, w.given["e0"], rate)
		})
	}
}

// TestRateLimitOfAnotherStart has an endpoint start again under its name.
func TestRateLimitOfAnotherStart(t *testing.T) {
	w := newRateLimitHarness(t, 1, 1, rateModel())
	s := w.instances[0]
	s.settings.Notices.ApplyNotice(notice.Notice{
		Instance:  "e0",
		StartedAt: w.now,
		Limited:   true,
		Revision:  1,
	})
	w.ask(s, false)
	r, _ := w.ask(s, false)
	is.New(t).True(r != nil)
	snap := &catalog.Snapshot{
		Table: route.New(2, nil, []route.Service{{Name: "s", Engine: rateModel()}}, nil, false, route.Limits{}),
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
		r, decided := w.ask(s, false)
		is.New(t).True(decided && r == nil)
	}
}

func BenchmarkUsableWithRateLimits(b *testing.B) {
	for _, limited := range []int{0, 10, 1000} {
		b.Run(fmt.Sprint(limited, " of 1000"), func(b *testing.B) {
			w := newRateLimitHarness(&testing.T{}, 1, 1000, rateModel())
			for i := range limited {
				w.limit(2, fmt.Sprint("e", i))
			}
			p := w.instances[0].pools["s"]
			x := &Waiter{}
			for b.Loop() {
				p.usable(x, w.now)
			}
		})
	}
}
