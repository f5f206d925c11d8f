// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/route"
)

// refusingPlacer records each placement request and refuses it with err.
type refusingPlacer struct {
	err      error
	requests []pool.PlacementRequest
	at       []time.Time
}

// Place implements pool.Placer.
func (k *refusingPlacer) Place(_ context.Context, a pool.PlacementRequest) (pool.Grant, error) {
	k.requests = append(k.requests, a)
	k.at = append(k.at, time.Now())
	return pool.Grant{}, k.err
}

// FirstEvent implements pool.Placer.
func (k *refusingPlacer) FirstEvent(string, string) {}

// End implements pool.Placer.
func (k *refusingPlacer) End(string, string, pool.Outcome, string) {}

// TestWatchRetriesSearch guards against a silent stream that does not search for another
// placement again, describes its silence wrongly, or ignores the delay that the pool's owner
// asks for.
func TestWatchRetriesSearch(t *testing.T) {
	for _, row := range []struct {
		name  string
		err   error
		begun bool
		// first is the silence at the first search, left how long the caller is expected to wait
		// after it, and again the time from the first search to the second.
		first time.Duration
		left  time.Duration
		again time.Duration
	}{
		{"told to keep", &pool.Refusal{KeepReplaced: true, RetryAfter: 400 * time.Millisecond}, true, 1300 * time.Millisecond, 700 * time.Millisecond, 400 * time.Millisecond},
		{"refused", &pool.Refusal{RetryAfter: 400 * time.Millisecond}, true, 1300 * time.Millisecond, 700 * time.Millisecond, 1300 * time.Millisecond},
		{"no answer", errors.New("none"), true, 1300 * time.Millisecond, 700 * time.Millisecond, 1300 * time.Millisecond},
		{"told to keep before the first event", &pool.Refusal{KeepReplaced: true, RetryAfter: time.Second}, false, 2700 * time.Millisecond, 3300 * time.Millisecond, time.Second},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				k := &refusingPlacer{err: row.err}
				w := newTestWatch(t, k)
				if row.begun {
					w.recordActivity()
				}
				began := time.Now()
				time.Sleep(5 * time.Second)
				w.end()
				is.True(len(k.requests) >= 2)
				r := k.requests[0].Replaces
				is.Equal(r.ID, "attempt")
				is.Equal(r.SilentFor, row.first)
				is.Equal(r.Patience, row.left)
				is.Equal(k.at[0].Sub(began), row.first)
				is.Equal(k.at[1].Sub(k.at[0]), row.again)
			})
		})
	}
}

// newTestWatch returns the watch of a stream with a gap target of 200 ms whose first event is
// predicted after one second.
func newTestWatch(t *testing.T, placer pool.Placer) *watch {
	l := &Relay{
		parts: Parts{
			Placer: placer,
			Log:    logr.Discard(),
		},
	}
	a := &attempt{
		relay: l,
		job: &job{
			route: &route.Route{
				Kind:        route.Streaming,
				Resumable:   true,
				MaxAttempts: 2,
				Target:      1500 * time.Millisecond,
				GapTarget:   200 * time.Millisecond,
			},
			arrived: time.Now(),
		},
		request: pool.PlacementRequest{
			ID: "attempt",
		},
		grant: pool.Grant{
			Instance:     "e0",
			FirstEventIn: time.Second,
		},
	}
	return a.watch(t.Context(), func() {})
}
