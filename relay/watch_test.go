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

// refusingPlacer refuses each place with an error and notes what it was asked.
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

// First implements pool.Placer.
func (k *refusingPlacer) First(string, string) {}

// End implements pool.Placer.
func (k *refusingPlacer) End(string, string, pool.Outcome, string) {}

// TestWatchRetriesSearch lets a stream of pauses of 200 ms be silent, before its first event
// and after it. The watch says which attempt it is to replace, for how long it has been
// silent and how long its caller will wait, and looks again when the owner says, or else
// after the usual silence of 1.3 s.
func TestWatchRetriesSearch(t *testing.T) {
	for _, row := range []struct {
		name  string
		err   error
		begun bool
		// first is the silence at the first look, left what the caller waits then, and
		// again the time until the second look.
		first time.Duration
		left  time.Duration
		again time.Duration
	}{
		{"kept", &pool.Refusal{KeepReplaced: true, RetryAfter: 400 * time.Millisecond}, true, 1300 * time.Millisecond, 700 * time.Millisecond, 400 * time.Millisecond},
		{"refused", &pool.Refusal{RetryAfter: 400 * time.Millisecond}, true, 1300 * time.Millisecond, 700 * time.Millisecond, 1300 * time.Millisecond},
		{"no answer", errors.New("none"), true, 1300 * time.Millisecond, 700 * time.Millisecond, 1300 * time.Millisecond},
		{"kept before the first event", &pool.Refusal{KeepReplaced: true, RetryAfter: time.Second}, false, 2700 * time.Millisecond, 3300 * time.Millisecond, time.Second},
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

// newTestWatch returns the watch of an attempt with a first event predicted after a second.
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
