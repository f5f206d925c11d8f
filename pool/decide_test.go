// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/placement"
)

// moment is when the requests of these tests come.
var moment = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// waiting returns a request that came at moment.
func waiting(prompt int, target time.Duration) *Waiter {
	return &Waiter{
		ask: PlacementRequest{
			Prompt:   prompt,
			Target:   target,
			Deadline: 10 * time.Second,
		},
		request: placement.Request{
			Prompt:   prompt,
			TargetAt: moment.Add(target),
			Worth:    1,
		},
		arrived: moment,
	}
}

// busyPool returns a pool of one engine that reads 100 000 tokens a second and is busy.
func busyPool() *poolState {
	e := &placement.Engine{
		Instance: "e0",
		Slots:    4,
		Model: &batch.Model{
			PrefillPerSecond: 100_000,
		},
	}
	e.Add(&placement.Job{
		ID:              "before",
		PromptLeft:      1_000_000,
		PrefillPerToken: 10 * time.Microsecond,
	}, moment)
	return &poolState{
		list: []*placement.Engine{e},
	}
}

// TestCovers holds what a request keeps against what others lose and the price.
func TestCovers(t *testing.T) {
	for _, row := range []struct {
		name string
		// spoils is what others lose, and loses what the request does, of a worth of 1.
		spoils float64
		loses  float64
		// price is what a second of engines costs; the request takes half a second.
		price  float64
		waited time.Duration
		want   bool
	}{
		{"costs nothing", 0, 0, 0, 0, true},
		{"late and costs nothing", 0, 0.75, 0, 0, true},
		{"costs others little", toleratedHarm, 0.75, 0, 0, true},
		{"costs others less than it keeps", 0.5, 0, 0, 0, true},
		{"costs others more than it keeps", 0.8, 0, 0, 0, false},
		{"costs others more, has waited for long", 0.8, 0, 0, 4 * time.Second, false},
		{"keeps more than the price", 0, 0, 1.9, 0, true},
		{"keeps less than the price", 0, 0, 2.1, 0, false},
		{"late, keeps less than the price", 0, 0.75, 0.6, 0, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			p := busyPool()
			now := moment.Add(row.waited)
			// All work was displaced, so that the price holds in full.
			p.price.note(time.Second, row.price/priceShare, now)
			got := p.coversCost(waiting(50_000, 3*time.Second), &placement.Plan{
				OthersLoss: row.spoils,
				OwnLoss:    row.loses,
			}, now)
			is.Equal(got, row.want)
		})
	}
	t.Run("engines rest", func(t *testing.T) {
		is := is.New(t)
		p := busyPool()
		p.list[0].Remove("before")
		p.price.note(time.Second, 100, moment)
		is.True(p.coversCost(waiting(50_000, 3*time.Second), &placement.Plan{}, moment))
	})
}

// TestBetterLater looks which requests wait for a better moment.
func TestBetterLater(t *testing.T) {
	for _, row := range []struct {
		name   string
		target time.Duration
		late   bool
		plan   placement.Plan
		now    time.Duration
		want   bool
	}{
		{"in time at no cost", 3 * time.Second, false, placement.Plan{TimeToFirstEvent: time.Second}, 0, false},
		{"late, may be in time", 3 * time.Second, true, placement.Plan{TimeToFirstEvent: 4 * time.Second}, 0, true},
		{"late, too late to be in time", 3 * time.Second, true, placement.Plan{TimeToFirstEvent: 4 * time.Second}, 2500 * time.Millisecond, false},
		{"costs others, has time", 3 * time.Second, false, placement.Plan{TimeToFirstEvent: time.Second, OthersLoss: 1}, 0, true},
		{"costs others, has no time", 3 * time.Second, false, placement.Plan{TimeToFirstEvent: time.Second, OthersLoss: 1}, 2 * time.Second, false},
		{"short", 300 * time.Millisecond, true, placement.Plan{TimeToFirstEvent: time.Second, OthersLoss: 1}, 0, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			w := waiting(50_000, row.target)
			w.late = row.late
			is.Equal(w.shouldDefer(&row.plan, busyPool().list, moment.Add(row.now)), row.want)
		})
	}
}

// TestYields looks who leaves room for those that can still be in time.
func TestYields(t *testing.T) {
	for _, row := range []struct {
		name   string
		target time.Duration
		spent  time.Duration
		again  bool
		want   bool
	}{
		{"first try", 300 * time.Millisecond, 0, false, false},
		{"came back", 300 * time.Millisecond, 2 * time.Second, false, true},
		{"came back in time", 300 * time.Millisecond, 200 * time.Millisecond, false, false},
		{"came back with a long prompt", 3 * time.Second, 4 * time.Second, false, false},
		{"its endpoint failed", -time.Second, 0, true, false},
		{"came back and its endpoint failed", -time.Second, 2 * time.Second, true, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			w := waiting(5000, row.target-row.spent)
			w.ask.Target = row.target
			w.ask.Elapsed = row.spent
			w.ask.Retry = row.again
			is.New(t).Equal(w.yields(), row.want)
		})
	}
}
