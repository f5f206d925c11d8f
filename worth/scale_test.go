// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package worth_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/route"
	"github.com/linkmast/linkmast/worth"
)

// model returns the model of engines that prefill 100,000 tokens a second, and fewer of long
// prompts, and decode 10,000 tokens a second in all slots together.
func model() *batch.Model {
	return &batch.Model{
		Slots:            10,
		Step:             time.Millisecond,
		PrefillPerSecond: 100_000,
		PerMillionPairs:  100 * time.Microsecond,
	}
}

// typical is the size of a typical request in these tests.
var typical = route.Size{
	Prompt: 10_000,
	Answer: 1_000,
}

// scale returns a scale that has observed each request 100 times.
func scale(s worth.Settings, requests ...worth.Request) *worth.Scale {
	out := worth.New(s)
	out.SetModel(model(), typical)
	for range 100 {
		for _, r := range requests {
			out.Observe(r)
		}
	}
	return out
}

// sized returns r with a typical size.
func sized(r worth.Request) worth.Request {
	r.Prompt, r.Output = typical.Prompt, typical.Answer
	return r
}

// assertNear fails unless got equals want up to rounding errors.
func assertNear(t *testing.T, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9*math.Abs(want) {
		t.Errorf("got %g, want %g", got, want)
	}
}

// TestOneRank checks that ranks have no effect when all requests have the same ones.
func TestOneRank(t *testing.T) {
	for _, rank := range []int{0, 1, 2, 9} {
		t.Run(fmt.Sprint(rank), func(t *testing.T) {
			r := sized(worth.Request{
				Customer:  rank,
				RouteRank: rank,
			})
			assertNear(t, scale(worth.Settings{}, r).Worth(r).InTime, 1.25*1.3)
		})
	}
}

// TestOrder checks that a better rank has a greater worth at equal size, and that a customer's
// rank takes precedence over the ranks of routes.
func TestOrder(t *testing.T) {
	order := []worth.Request{
		sized(worth.Request{Customer: 0, RouteRank: 0}),
		sized(worth.Request{Customer: 0, RouteRank: 1}),
		sized(worth.Request{Customer: 0, RouteRank: 2}),
		sized(worth.Request{Customer: 1, RouteRank: 0}),
		sized(worth.Request{Customer: 1, RouteRank: 2}),
		sized(worth.Request{Customer: 2, RouteRank: 0}),
		sized(worth.Request{Customer: 2, RouteRank: 2}),
	}
	s := scale(worth.Settings{}, order...)
	for i := range order[1:] {
		t.Run(fmt.Sprint(order[i+1]), func(t *testing.T) {
			is := is.New(t)
			is.True(s.Worth(order[i]).InTime > s.Worth(order[i+1]).InTime)
			is.True(s.Worth(order[i]).Late > s.Worth(order[i+1]).Late)
		})
	}
}

// TestRoutes checks that a route's worth follows the engine time of its typical requests, and
// that within a route it grows with the number of tokens.
func TestRoutes(t *testing.T) {
	short := worth.Request{Route: "short", Prompt: 5_000, Output: 1_000}
	long := worth.Request{Route: "long", Prompt: 200_000, Output: 500}
	s := scale(worth.Settings{}, short, long)
	work := func(r worth.Request) float64 {
		return model().Work(r.Prompt, r.Output).Seconds() / model().Work(typical.Prompt, typical.Answer).Seconds()
	}
	for _, r := range []worth.Request{short, long} {
		t.Run(r.Route, func(t *testing.T) {
			is := is.New(t)
			v := s.Worth(r)
			assertNear(t, v.InTime, 1.25*(0.3+work(r)))
			assertNear(t, v.Late, v.InTime/4)
			twice := r
			twice.Prompt, twice.Output = 2*r.Prompt, 2*r.Output
			assertNear(t, s.Worth(twice).InTime, 1.7*v.InTime)
			none := r
			none.Prompt, none.Output = 0, 0
			is.True(s.Worth(none).InTime > 0)
		})
	}
}

// TestTypicalRequests checks the size and the worth of the typical request of a route.
func TestTypicalRequests(t *testing.T) {
	is := is.New(t)
	r := worth.Request{Route: "long", RouteRank: 1, Prompt: 200_000, Output: 500}
	got := scale(worth.Settings{}, r).TypicalRequests()
	is.Equal(len(got), 1)
	is.Equal(got["long"].Prompt, 200_000)
	is.Equal(got["long"].Output, 500)
	assertNear(t, got["long"].Worth, scale(worth.Settings{}, r).Worth(r).InTime)
}

// TestEngineSpeed checks that the worth of a request does not depend on the speed of engines.
func TestEngineSpeed(t *testing.T) {
	r := worth.Request{Route: "long", Prompt: 200_000, Output: 500}
	quick, slow := scale(worth.Settings{}, r), worth.New(worth.Settings{})
	m := model()
	m.Step *= 3
	m.PrefillPerSecond /= 3
	m.PerMillionPairs *= 3
	slow.SetModel(m, typical)
	slow.Observe(r)
	if got, want := slow.Worth(r).InTime, quick.Worth(r).InTime; math.Abs(got-want) > 1e-6*want {
		t.Errorf("got %g, want %g", got, want)
	}
}

// TestRankMix checks that the mean worth of requests stays the same when the mix of ranks
// changes.
func TestRankMix(t *testing.T) {
	urgent, other := sized(worth.Request{}), sized(worth.Request{RouteRank: 2})
	for _, requests := range [][]worth.Request{
		{urgent, urgent, urgent, other},
		{urgent, other, other, other},
	} {
		t.Run(fmt.Sprint(requests), func(t *testing.T) {
			s := scale(worth.Settings{}, requests...)
			sum := 0.0
			for _, r := range requests {
				sum += s.Worth(r).InTime
			}
			if mean := sum / float64(len(requests)); math.Abs(mean-1.25*1.3) > 0.02 {
				t.Errorf("mean worth %g", mean)
			}
			assertNear(t, s.Worth(urgent).InTime/s.Worth(other).InTime, 3)
		})
	}
}

// TestManyRoutes checks that on routes beyond the limit each request counts as typical.
func TestManyRoutes(t *testing.T) {
	s := scale(worth.Settings{})
	for i := range 1000 {
		s.Observe(sized(worth.Request{Route: fmt.Sprint(i)}))
	}
	assertNear(t, s.Worth(sized(worth.Request{Route: "999"})).InTime, 1.25*1.3)
}

// TestSettings checks that settings take precedence over the defaults.
func TestSettings(t *testing.T) {
	s := scale(worth.Settings{
		Fixed:     0.5,
		Late:      0.4,
		Routes:    []float64{1, 0.8},
		Customers: []float64{1, 0.9},
	})
	first := s.Worth(sized(worth.Request{}))
	assertNear(t, first.InTime, 1.25*1.5)
	assertNear(t, first.Late/first.InTime, 0.4)
	for _, row := range []struct {
		request worth.Request
		want    float64
	}{
		{worth.Request{RouteRank: 1}, 0.8},
		{worth.Request{RouteRank: 7}, 0.8},
		{worth.Request{Customer: 1}, 0.9},
		{worth.Request{Customer: 3, RouteRank: 3}, 0.72},
		{worth.Request{Customer: -1, RouteRank: -1}, 1},
	} {
		t.Run(fmt.Sprint(row.request), func(t *testing.T) {
			assertNear(t, s.Worth(sized(row.request)).InTime/first.InTime, row.want)
		})
	}
}

// TestCheck checks that errors name the invalid setting.
func TestCheck(t *testing.T) {
	for _, row := range []struct {
		settings worth.Settings
		want     string
	}{
		{worth.Settings{}, ""},
		{worth.Settings{Fixed: 1, Late: 1, Routes: []float64{3, 3, 1}, Customers: []float64{0.1}}, ""},
		{worth.Settings{Fixed: -1}, "fixed"},
		{worth.Settings{Late: -0.1}, "late"},
		{worth.Settings{Late: 1.1}, "late"},
		{worth.Settings{Routes: []float64{1, 0}}, "routes"},
		{worth.Settings{Routes: []float64{1, 2}}, "routes"},
		{worth.Settings{Customers: []float64{-1}}, "customers"},
	} {
		t.Run(fmt.Sprint(row.settings), func(t *testing.T) {
			is := is.New(t)
			err := row.settings.Check()
			if row.want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.True(strings.HasPrefix(err.Error(), row.want))
		})
	}
}

// TestNoModel checks that requests of a service without engines have a worth.
func TestNoModel(t *testing.T) {
	assertNear(t, worth.New(worth.Settings{}).Worth(sized(worth.Request{})).InTime, 1.25*1.3)
}

func ExampleScale() {
	s := worth.New(worth.Settings{})
	s.SetModel(model(), typical)
	question := worth.Request{Route: "desk", Prompt: 5_000, Output: 1_000}
	report := worth.Request{Route: "reports", RouteRank: 2, Prompt: 100_000, Output: 500}
	for range 9 {
		s.Observe(question)
	}
	s.Observe(report)
	fmt.Printf("%.1f %.1f\n", s.Worth(question).InTime, s.Worth(report).InTime)
	// Output: 1.4 3.5
}

func BenchmarkWorth(b *testing.B) {
	s := worth.New(worth.Settings{})
	s.SetModel(model(), typical)
	r := sized(worth.Request{Customer: 1})
	for b.Loop() {
		s.Observe(r)
		s.Worth(r)
	}
}
