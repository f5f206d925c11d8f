// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/placement"
)

// moment is the time at which the requests of these tests arrive.
var moment = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newWaiting returns a request that arrived at moment.
func newWaiting(prompt int, target time.Duration) *Waiter {
	return &Waiter{
		placementRequest: PlacementRequest{
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

// busyPool returns a pool with one busy engine, which prefills 100 000 tokens a second.
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

// TestCoversCost compares the worth that a request keeps with the loss of other requests and
// with the price.
func TestCoversCost(t *testing.T) {
	for _, row := range []struct {
		name string
		// othersLoss is the loss of other requests, and ownLoss that of the request, whose
		// worth is 1.
		othersLoss float64
		ownLoss    float64
		// price is the price of a second of engine time. The request takes half a second.
		price  float64
		waited time.Duration
		want   bool
	}{
		{"costs nothing", 0, 0, 0, 0, true},
		{"late and costs nothing", 0, 0.75, 0, 0, true},
		{"costs others little", toleratedHarm, 0.75, 0, 0, true},
		{"costs others far less than it keeps", 0.5, 0, 0, 0, true},
		{"costs others too much", 0.8, 0, 0, 0, false},
		{"costs others too much, has waited for long", 0.8, 0, 0, 4 * time.Second, false},
		{"keeps more than the price", 0, 0, 1.9, 0, true},
		{"keeps less than the price", 0, 0, 2.1, 0, false},
		{"late, keeps less than the price", 0, 0.75, 0.6, 0, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			p := busyPool()
			now := moment.Add(row.waited)
			// All work was displaced, so that the full price applies.
			p.price.record(time.Second, row.price/priceShare, now)
			got := p.coversCost(newWaiting(50_000, 3*time.Second), &placement.Plan{
				OthersLoss: row.othersLoss,
				OwnLoss:    row.ownLoss,
			}, now)
			is.Equal(got, row.want)
		})
	}
	t.Run("engines are idle", func(t *testing.T) {
		is := is.New(t)
		p := busyPool()
		p.list[0].Remove("before")
		p.price.record(time.Second, 100, moment)
		is.True(p.coversCost(newWaiting(50_000, 3*time.Second), &placement.Plan{}, moment))
	})
}

// TestShouldDefer checks which requests wait for a better moment.
func TestShouldDefer(t *testing.T) {
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
		{"late, can't be in time", 3 * time.Second, true, placement.Plan{TimeToFirstEvent: 4 * time.Second}, 2500 * time.Millisecond, false},
		{"costs others, has time", 3 * time.Second, false, placement.Plan{TimeToFirstEvent: time.Second, OthersLoss: 1}, 0, true},
		{"costs others, has no time", 3 * time.Second, false, placement.Plan{TimeToFirstEvent: time.Second, OthersLoss: 1}, 2 * time.Second, false},
		{"short", 300 * time.Millisecond, true, placement.Plan{TimeToFirstEvent: time.Second, OthersLoss: 1}, 0, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			w := newWaiting(50_000, row.target)
			w.late = row.late
			is.Equal(w.shouldDefer(&row.plan, busyPool().list, moment.Add(row.now)), row.want)
		})
	}
}

// TestYields checks which requests leave the slots to those that can still be in time.
func TestYields(t *testing.T) {
	for _, row := range []struct {
		name    string
		target  time.Duration
		elapsed time.Duration
		retry   bool
		want    bool
	}{
		{"first try", 300 * time.Millisecond, 0, false, false},
		{"came back", 300 * time.Millisecond, 2 * time.Second, false, true},
		{"came back in time", 300 * time.Millisecond, 200 * time.Millisecond, false, false},
		{"came back with a long prompt", 3 * time.Second, 4 * time.Second, false, false},
		{"its endpoint failed", -time.Second, 0, true, false},
		{"came back and its endpoint failed", -time.Second, 2 * time.Second, true, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			w := newWaiting(5000, row.target-row.elapsed)
			w.placementRequest.Target = row.target
			w.placementRequest.Elapsed = row.elapsed
			w.placementRequest.Retry = row.retry
			is.New(t).Equal(w.yields(), row.want)
		})
	}
}
