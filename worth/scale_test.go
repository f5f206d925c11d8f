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

// model is that of engines that read 100,000 tokens a second and write one in a tenth of
// a millisecond; long prompts take longer for each token.
func model() *batch.Model {
	return &batch.Model{
		Slots:            10,
		Step:             time.Millisecond,
		PrefillPerSecond: 100_000,
		PerMillionPairs:  100 * time.Microsecond,
	}
}

// usual is the size of a usual request in these tests.
var usual = route.Size{
	Prompt: 10_000,
	Answer: 1_000,
}

// scale returns a scale that has seen requests of some kinds, each so often.
func scale(s worth.Settings, kinds ...worth.Request) *worth.Scale {
	out := worth.New(s)
	out.SetModel(model(), usual)
	for range 100 {
		for _, k := range kinds {
			out.Observe(k)
		}
	}
	return out
}

// sized returns a request of a usual size.
func sized(k worth.Request) worth.Request {
	k.Prompt, k.Output = usual.Prompt, usual.Answer
	return k
}

// assertNear fails unless a value is as wanted but for rounding.
func assertNear(t *testing.T, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9*math.Abs(want) {
		t.Errorf("got %g, want %g", got, want)
	}
}

// TestOneRank looks that ranks change nothing where all requests have the same.
func TestOneRank(t *testing.T) {
	for _, rank := range []int{0, 1, 2, 9} {
		t.Run(fmt.Sprint(rank), func(t *testing.T) {
			k := sized(worth.Request{
				Customer:  rank,
				RouteRank: rank,
			})
			assertNear(t, scale(worth.Settings{}, k).Value(k).InTime, 1.25*1.3)
		})
	}
}

// TestOrder looks that of requests of one size that of the better rank is worth more, and
// that a customer's rank goes before its routes'.
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
			is.True(s.Value(order[i]).InTime > s.Value(order[i+1]).InTime)
			is.True(s.Value(order[i]).Late > s.Value(order[i+1]).Late)
		})
	}
}

// TestRoutes looks that routes are worth what the work of their usual requests is, and
// requests within a route grow with their size, not with the work of long prompts.
func TestRoutes(t *testing.T) {
	short := worth.Request{Route: "short", Prompt: 5_000, Output: 1_000}
	long := worth.Request{Route: "long", Prompt: 200_000, Output: 500}
	s := scale(worth.Settings{}, short, long)
	work := func(k worth.Request) float64 {
		return model().Work(k.Prompt, k.Output).Seconds() / model().Work(usual.Prompt, usual.Answer).Seconds()
	}
	for _, k := range []worth.Request{short, long} {
		t.Run(k.Route, func(t *testing.T) {
			is := is.New(t)
			v := s.Value(k)
			assertNear(t, v.InTime, 1.25*(0.3+work(k)))
			assertNear(t, v.Late, v.InTime/4)
			twice := k
			twice.Prompt, twice.Output = 2*k.Prompt, 2*k.Output
			assertNear(t, s.Value(twice).InTime, 1.7*v.InTime)
			none := k
			none.Prompt, none.Output = 0, 0
			is.True(s.Value(none).InTime > 0)
		})
	}
}

// TestUsual tells what is usual for each route.
func TestUsual(t *testing.T) {
	is := is.New(t)
	k := worth.Request{Route: "long", RouteRank: 1, Prompt: 200_000, Output: 500}
	got := scale(worth.Settings{}, k).TypicalRequests()
	is.Equal(len(got), 1)
	is.Equal(got["long"].Prompt, 200_000)
	is.Equal(got["long"].Output, 500)
	assertNear(t, got["long"].Worth, scale(worth.Settings{}, k).Value(k).InTime)
}

// TestPace looks that worth does not depend on how fast engines are.
func TestPace(t *testing.T) {
	k := worth.Request{Route: "long", Prompt: 200_000, Output: 500}
	quick, slow := scale(worth.Settings{}, k), worth.New(worth.Settings{})
	m := model()
	m.Step *= 3
	m.PrefillPerSecond /= 3
	m.PerMillionPairs *= 3
	slow.SetModel(m, usual)
	slow.Observe(k)
	if got, want := slow.Value(k).InTime, quick.Value(k).InTime; math.Abs(got-want) > 1e-6*want {
		t.Errorf("got %g, want %g", got, want)
	}
}

// TestMix looks that the mean worth of requests stays where most of another rank come.
func TestMix(t *testing.T) {
	urgent, other := sized(worth.Request{}), sized(worth.Request{RouteRank: 2})
	for _, kinds := range [][]worth.Request{
		{urgent, urgent, urgent, other},
		{urgent, other, other, other},
	} {
		t.Run(fmt.Sprint(kinds), func(t *testing.T) {
			s := scale(worth.Settings{}, kinds...)
			sum := 0.0
			for _, k := range kinds {
				sum += s.Value(k).InTime
			}
			if mean := sum / float64(len(kinds)); math.Abs(mean-1.25*1.3) > 0.02 {
				t.Errorf("mean worth %g", mean)
			}
			assertNear(t, s.Value(urgent).InTime/s.Value(other).InTime, 3)
		})
	}
}

// TestManyRoutes looks that routes beyond those that are kept have a worth by their own
// size.
func TestManyRoutes(t *testing.T) {
	s := scale(worth.Settings{})
	for i := range 1000 {
		s.Observe(sized(worth.Request{Route: fmt.Sprint(i)}))
	}
	assertNear(t, s.Value(sized(worth.Request{Route: "999"})).InTime, 1.25*1.3)
}

// TestSettings takes what an operator set before the defaults.
func TestSettings(t *testing.T) {
	s := scale(worth.Settings{
		Fixed:     0.5,
		Late:      0.4,
		Routes:    []float64{1, 0.8},
		Customers: []float64{1, 0.9},
	})
	first := s.Value(sized(worth.Request{}))
	assertNear(t, first.InTime, 1.25*1.5)
	assertNear(t, first.Late/first.InTime, 0.4)
	for _, row := range []struct {
		kind worth.Request
		want float64
	}{
		{worth.Request{RouteRank: 1}, 0.8},
		{worth.Request{RouteRank: 7}, 0.8},
		{worth.Request{Customer: 1}, 0.9},
		{worth.Request{Customer: 3, RouteRank: 3}, 0.72},
		{worth.Request{Customer: -1, RouteRank: -1}, 1},
	} {
		t.Run(fmt.Sprint(row.kind), func(t *testing.T) {
			assertNear(t, s.Value(sized(row.kind)).InTime/first.InTime, row.want)
		})
	}
}

// TestCheck names settings that make no sense.
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

// TestNoModel takes requests of a service without engines, which all have a worth.
func TestNoModel(t *testing.T) {
	assertNear(t, worth.New(worth.Settings{}).Value(sized(worth.Request{})).InTime, 1.25*1.3)
}

func ExampleScale() {
	s := worth.New(worth.Settings{})
	s.SetModel(model(), usual)
	question := worth.Request{Route: "desk", Prompt: 5_000, Output: 1_000}
	report := worth.Request{Route: "reports", RouteRank: 2, Prompt: 100_000, Output: 500}
	for range 9 {
		s.Observe(question)
	}
	s.Observe(report)
	fmt.Printf("%.1f %.1f\n", s.Value(question).InTime, s.Value(report).InTime)
	// Output: 1.4 3.5
}

func BenchmarkValue(b *testing.B) {
	s := worth.New(worth.Settings{})
	s.SetModel(model(), usual)
	k := sized(worth.Request{Customer: 1})
	for b.Loop() {
		s.Observe(k)
		s.Value(k)
	}
}
