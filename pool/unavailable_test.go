// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/notice"
)

// setLeaving makes all instances know that the named endpoints are leaving.
func (w *rateLimitHarness) setLeaving(names ...string) {
	for _, s := range w.instances {
		for _, name := range names {
			s.settings.Notices.ApplyNotice(notice.Notice{
				Instance: name,
				Leaving:  true,
				Revision: 1,
			})
		}
	}
}

// assertPlacedElsewhere checks that requests are placed at once, none of them on the given
// endpoint.
func assertPlacedElsewhere(t *testing.T, w *rateLimitHarness, but string) {
	t.Helper()
	for range 5 {
		r, decided := w.request(w.instances[0], false)
		is.New(t).True(decided && r == nil)
	}
	is.New(t).Equal(len(w.placements[but]), 0)
}

// TestLeavingEndpointGetsNoRequests checks that leaving endpoints get no requests, and that
// requests are refused at once if all endpoints are leaving.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	for _, c := range []struct {
		name  string
		plain bool
	}{
		{"engines", false},
		{"plain", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			model := idleModel()
			if c.plain {
				model = nil
			}
			w := newRateLimitHarness(t, 1, 2, model)
			w.setLeaving("e0")
			assertPlacedElsewhere(t, w, "e0")
			w.setLeaving("e1")
			r, decided := w.request(w.instances[0], false)
			is.New(t).True(decided && r != nil)
			is.New(t).True(r.RetryAfter >= leavingRetryAfter)
		})
	}
}

// TestRetryAfterOfRateLimitedEndpoint checks that RetryAfter follows the rate limit of the only
// endpoint that is not leaving.
func TestRetryAfterOfRateLimitedEndpoint(t *testing.T) {
	w := newRateLimitHarness(t, 1, 2, idleModel())
	w.setLeaving("e0")
	w.setLimit(0.2, "e1")
	assert := func(refused bool) {
		t.Helper()
		r, decided := w.request(w.instances[0], false)
		is.New(t).True(decided)
		is.New(t).Equal(r != nil, refused)
		if refused {
			is.New(t).True(r.RetryAfter >= 5*time.Second)
		}
	}
	assert(false)
	assert(true)
	w.run(5*time.Second, func(int) {})
	assert(false)
}

// TestBackoffAppliesToOneEntry checks that a back-off applies only to requests of the entry
// instance that was asked for it, and that these are refused at once if all endpoints back off.
func TestBackoffAppliesToOneEntry(t *testing.T) {
	w := newRateLimitHarness(t, 1, 2, idleModel())
	s := w.instances[0]
	place := func(entry string, backoffs ...Backoff) (string, *Refusal) {
		w.count++
		x := s.submitFor(PlacementRequest{
			ID:       fmt.Sprint("r", w.count),
			Service:  "s",
			Prompt:   100,
			Target:   300 * time.Millisecond,
			Deadline: 4 * time.Second,
			Backoffs: backoffs,
		}, entry, false)
		g, r, decided := x.Decision()
		is.New(t).True(decided)
		return g.Instance, r
	}
	first := Backoff{Instance: "e0", Duration: 3 * time.Second}
	second := Backoff{Instance: "e1", Duration: 2 * time.Second}
	at, _ := place("a", first)
	is.New(t).Equal(at, "e1")
	at, _ = place("b")
	is.New(t).Equal(at, "e0")
	_, r := place("a", first, second)
	is.New(t).True(r != nil)
	is.New(t).True(r.RetryAfter >= 2*time.Second && r.RetryAfter <= 4*time.Second)

	t.Run("waits for an endpoint whose back-off ends soon", func(t *testing.T) {
		x := s.Submit(PlacementRequest{
			ID:       "waits",
			Service:  "s",
			Prompt:   100,
			Target:   300 * time.Millisecond,
			Deadline: 4 * time.Second,
			Backoffs: []Backoff{first, {Instance: "e1", Duration: 100 * time.Millisecond}},
		})
		_, _, decided := x.Decision()
		is.New(t).True(!decided)
		w.run(101*time.Millisecond, func(int) {})
		s.Review()
		g, _, decided := x.Decision()
		is.New(t).True(decided)
		is.New(t).Equal(g.Instance, "e1")
	})
}

// TestDeclinedRequestWaitsUntilTarget guards against waits that add up: a request whose grants are declined
// one after the other must not wait anew each time although it is late.
func TestDeclinedRequestWaitsUntilTarget(t *testing.T) {
	for _, row := range []struct {
		name string
		// left is the time left until the request is late.
		left     time.Duration
		excludes []string
		waits    bool
	}{
		{"first placement, late", -time.Millisecond, nil, true},
		{"declined and late", -time.Millisecond, []string{"e0"}, false},
		{"declined, not late yet", 60 * time.Millisecond, []string{"e0"}, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			w := newRateLimitHarness(t, 1, 2, nil)
			x := w.instances[0].Submit(PlacementRequest{
				ID:       "declined",
				Service:  "s",
				Prompt:   100,
				Target:   row.left,
				Deadline: 4 * time.Second,
				Exclude:  row.excludes,
				Backoffs: []Backoff{{Instance: "e0", Duration: 3 * time.Second}, {Instance: "e1", Duration: 50 * time.Millisecond}},
			})
			_, r, decided := x.Decision()
			is.Equal(decided, !row.waits)
			if !row.waits {
				is.True(r != nil && r.RetryAfter >= 50*time.Millisecond)
			}
		})
	}
	t.Run("sent before and late", func(t *testing.T) {
		is := is.New(t)
		w := Waiter{
			placementRequest: PlacementRequest{
				Exclude: []string{"e0"},
				Retry:   true,
			},
			arrived: moment,
		}
		w.request.TargetAt = moment.Add(-time.Second)
		is.Equal(w.waitsUntil(), moment.Add(lateWait))
	})
}
