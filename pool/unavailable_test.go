// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/notice"
)

// leave has all instances know that endpoints leave.
func (w *rateLimitHarness) leave(names ...string) {
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

// assertPlaced checks that requests get places, none of them on an endpoint.
func assertPlaced(t *testing.T, w *rateLimitHarness, but string) {
	t.Helper()
	for range 5 {
		r, decided := w.ask(w.instances[0], false)
		is.New(t).True(decided && r == nil)
	}
	is.New(t).Equal(len(w.given[but]), 0)
}

// TestLeavingGetsNothing looks that endpoints which say that they leave get nothing, and that
// requests are refused at once when all do.
func TestLeavingGetsNothing(t *testing.T) {
	for _, c := range []struct {
		name  string
		plain bool
	}{
		{"engines", false},
		{"plain", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			model := rateModel()
			if c.plain {
				model = nil
			}
			w := newRateLimitHarness(t, 1, 2, model)
			w.leave("e0")
			assertPlaced(t, w, "e0")
			w.leave("e1")
			r, decided := w.ask(w.instances[0], false)
			is.New(t).True(decided && r != nil)
			is.New(t).True(r.RetryAfter >= leavingRetryAfter)
		})
	}
}

// TestLeavingAndLimited looks that the time to come back is that of the endpoint which takes a
// request again.
func TestLeavingAndLimited(t *testing.T) {
	w := newRateLimitHarness(t, 1, 2, rateModel())
	w.leave("e0")
	w.limit(0.2, "e1")
	assert := func(refused bool) {
		t.Helper()
		r, decided := w.ask(w.instances[0], false)
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

// TestBackoffOfOneEntry looks that the requests of an entry that was asked for a back-off go elsewhere,
// those of others don't, and that its requests are refused at once when all endpoints back off.
func TestBackoffOfOneEntry(t *testing.T) {
	w := newRateLimitHarness(t, 1, 2, rateModel())
	s := w.instances[0]
	place := func(entry string, backoffs ...Backoff) (string, *Refusal) {
		w.asked++
		x := s.submitFor(PlacementRequest{
			ID:       fmt.Sprint("r", w.asked),
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

	t.Run("one that soon takes a request again is waited for", func(t *testing.T) {
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
