// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/route"
)

// queuePlacer is a pool.Placer that places each request after a time.
type queuePlacer struct {
	wait time.Duration
	ends []pool.Outcome
}

// Place implements pool.Placer.
func (p *queuePlacer) Place(ctx context.Context, _ pool.PlacementRequest) (pool.Grant, error) {
	select {
	case <-time.After(p.wait):
		return pool.Grant{}, nil
	case <-ctx.Done():
		return pool.Grant{}, ctx.Err()
	}
}

// FirstEvent implements pool.Placer.
func (p *queuePlacer) FirstEvent(_, _ string) {}

// End implements pool.Placer.
func (p *queuePlacer) End(_, _ string, o pool.Outcome, _ string) {
	p.ends = append(p.ends, o)
}

// Times of a stop in these tests.
const (
	endOfSending = 2 * time.Second
	cutAfter     = 5 * time.Second
)

// TestQueuedWhenSendingEnds guards against a request that gets a placement so late that the stop may cut its
// answer off, and against one that is refused although that can't happen, or although it may have run.
func TestQueuedWhenSendingEnds(t *testing.T) {
	for _, row := range []struct {
		name     string
		deadline time.Duration
		// sends and ran are those of the job.
		sends int
		ran   bool
		// refusedAfter is when the request is refused; zero if it is placed.
		refusedAfter time.Duration
	}{
		{"may be cut off", 10 * time.Second, 0, false, endOfSending},
		{"over before the cut", cutAfter, 0, false, 0},
		{"was rejected by an endpoint", 10 * time.Second, 1, false, endOfSending},
		{"may have run", 10 * time.Second, 1, true, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				began := steady.Now()
				l := New(Settings{}, Parts{
					Placer: &queuePlacer{
						wait: 3 * time.Second,
					},
				})
				j := &job{
					route:      &route.Route{MaxAttempts: 2},
					deadline:   began.Add(row.deadline),
					sends:      row.sends,
					mayHaveRun: row.ran,
					out:        &answer{},
				}
				time.AfterFunc(endOfSending, func() { l.EndSending(began.Add(cutAfter)) })
				if row.refusedAfter == 0 {
					_, err := l.findPlacement(t.Context(), j)
					is.NoErr(err)
					is.True(l.refuseLate(j) == nil)
					return
				}
				again, refused := l.attempt(t.Context(), j)
				is.True(!again)
				is.Equal(refused.status, http.StatusServiceUnavailable)
				is.True(refused.after > 0)
				is.Equal(steady.Since(began), row.refusedAfter)
			})
		})
	}
}

// TestPlacedAfterSendingEnded guards against a placement that is found once sending has ended and that is used,
// or not released.
func TestPlacedAfterSendingEnded(t *testing.T) {
	is := is.New(t)
	p := &queuePlacer{}
	l := New(Settings{}, Parts{
		Placer: p,
	})
	l.EndSending(steady.Now().Add(time.Second))
	j := &job{
		route:    &route.Route{MaxAttempts: 2},
		deadline: steady.Now().Add(time.Minute),
		next:     &nextPlacement{},
		out:      &answer{},
	}
	again, refused := l.attempt(t.Context(), j)
	is.True(!again)
	is.Equal(refused.status, http.StatusServiceUnavailable)
	is.Equal(p.ends, []pool.Outcome{pool.Unused})
}
