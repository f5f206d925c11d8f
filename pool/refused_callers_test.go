// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// refusedRequest returns a request of a caller that waits for ten seconds.
func refusedRequest(customer string, content uint64) PlacementRequest {
	return PlacementRequest{
		Customer: customer,
		Content:  content,
		Target:   3 * time.Second,
		Deadline: 10 * time.Second,
	}
}

// TestRecognizeRefusedCaller checks which requests count as those of a refused caller that has
// come back, and the elapsed time that they get.
func TestRecognizeRefusedCaller(t *testing.T) {
	const back = 4 * time.Second
	for _, row := range []struct {
		name    string
		request PlacementRequest
		after   time.Duration
		want    time.Duration
	}{
		{"the same caller", refusedRequest("c", 7), back, back},
		{"another prompt", refusedRequest("c", 8), back, 0},
		{"another customer", refusedRequest("d", 7), back, 0},
		{"unknown prompt", refusedRequest("c", 0), back, 0},
		{"deadline has passed", refusedRequest("c", 7), 11 * time.Second, 0},
		{"its endpoint failed", PlacementRequest{Customer: "c", Content: 7, Retry: true}, back, 0},
		{"its endpoint is silent", PlacementRequest{Customer: "c", Content: 7, Replaces: ReplacedAttempt{ID: "a"}}, back, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			var r refusedCallers
			for _, content := range []uint64{0, 7} {
				w := newWaiting(50_000, 3*time.Second)
				w.placementRequest = refusedRequest("c", content)
				r.add(w, moment)
			}
			r.recognize(&row.request, moment.Add(row.after))
			is.Equal(row.request.Returning, row.want > 0)
			is.Equal(row.request.Elapsed, row.want)
		})
	}
	t.Run("refused again", func(t *testing.T) {
		is := is.New(t)
		var r refusedCallers
		w := newWaiting(50_000, 3*time.Second)
		w.placementRequest = refusedRequest("c", 7)
		r.add(w, moment)
		second := refusedRequest("c", 7)
		r.recognize(&second, moment.Add(back))
		w.placementRequest, w.arrived = second, moment.Add(back)
		r.add(w, moment.Add(back))
		third := refusedRequest("c", 7)
		r.recognize(&third, moment.Add(back+time.Second))
		is.Equal(third.Elapsed, back+time.Second)
	})
	t.Run("many", func(t *testing.T) {
		is := is.New(t)
		var r refusedCallers
		w := newWaiting(50_000, 3*time.Second)
		for i := range maxRefusedCallers + 100 {
			w.placementRequest = refusedRequest("c", uint64(i)+1)
			r.add(w, moment)
		}
		is.Equal(len(r.callers), maxRefusedCallers)
		// Once those callers no longer wait, there is room for others.
		w.arrived = moment.Add(time.Minute)
		r.add(w, w.arrived)
		is.Equal(len(r.callers), 1)
	})
}

// TestRemainingWorth checks that a request that was late on arrival has only the worth of a
// late answer to lose.
func TestRemainingWorth(t *testing.T) {
	for _, row := range []struct {
		name    string
		elapsed time.Duration
		want    float64
	}{
		{"first try", 0, 1},
		{"came back in time", time.Second, 1},
		{"came back late", 3 * time.Second, 0.25},
	} {
		t.Run(row.name, func(t *testing.T) {
			w := newWaiting(50_000, 3*time.Second-row.elapsed)
			w.request.LateWorth = 0.25
			assertNear(t, w.remainingWorth(), row.want)
		})
	}
}

// TestRefuseLate checks which requests that are late already are refused rather than kept
// waiting.
func TestRefuseLate(t *testing.T) {
	const target = 3 * time.Second
	for _, row := range []struct {
		name   string
		target time.Duration
		// price is the price of a second of engine time. The request takes half a second and
		// has a worth of 0.25 when it is late.
		price  float64
		ready  time.Duration
		now    time.Duration
		retry  bool
		refuse bool
	}{
		{"may be in time", target, 9, time.Second, time.Second, false, false},
		{"late, engine time is free", target, 0, 5 * time.Second, 4 * time.Second, false, false},
		{"late, covers the price", target, 0.4, 5 * time.Second, 4 * time.Second, false, false},
		{"late, doesn't cover the price", target, 0.6, 5 * time.Second, 4 * time.Second, false, true},
		{"late, placeBy has passed", target, 0, 3500 * time.Millisecond, 4 * time.Second, false, true},
		{"short", 300 * time.Millisecond, 9, time.Second, 4 * time.Second, false, false},
		{"its endpoint failed", target, 9, 5 * time.Second, 4 * time.Second, true, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			s := NewScheduler(Settings{}, logr.Discard())
			p := busyPool()
			now := moment.Add(row.now)
			p.price.record(time.Second, row.price/priceShare, now)
			w := newWaiting(50_000, row.target)
			w.request.LateWorth = 0.25
			w.placementRequest.Retry = row.retry
			r := s.refuseLate(p, w, moment.Add(row.ready), now)
			is.Equal(r != nil, row.refuse)
		})
	}
}
