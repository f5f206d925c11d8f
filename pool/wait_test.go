// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/route"
)

// slowEngine returns the model of an engine that prefills 100 000 tokens a second, at most 1000 in
// a step.
func slowEngine() *batch.Model {
	return &batch.Model{
		Slots:            4,
		Capacity:         1_000_000,
		StepsPerPass:     10,
		Chunk:            1000,
		Step:             time.Millisecond,
		PrefillPerSecond: 100_000,
	}
}

// background starts run in a goroutine. It returns the context of run, and a function that
// cancels the context and waits for run to return.
func background(t *testing.T, run func(context.Context)) (context.Context, func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		run(ctx)
		close(done)
	}()
	return ctx, func() {
		cancel()
		<-done
	}
}

// withSlowEngine runs f in virtual time, with a scheduler that knows one slow engine.
func withSlowEngine(t *testing.T, f func(ctx context.Context, is *is.I, s *pool.Scheduler)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := pool.NewScheduler(pool.Settings{
			Self: "n0",
		}, logr.Discard())
		s.Update(&catalog.Snapshot{
			Table: route.New(1, nil, []route.Service{
				{Name: "engines", Engine: slowEngine()},
			}, nil, false, route.Limits{}),
			Endpoints: map[string]catalog.Endpoint{
				"e0": {
					Instance: "e0",
					Service:  "engines",
					Address:  "e0:1",
					Slots:    4,
				},
			},
		})
		ctx, stop := background(t, s.Run)
		defer stop()
		f(ctx, is.New(t), s)
	})
}

// prompt returns a request with the given prompt length and target.
func prompt(id string, tokens int, target time.Duration) pool.PlacementRequest {
	return pool.PlacementRequest{
		ID:       id,
		Service:  "engines",
		Prompt:   tokens,
		Target:   target,
		Gap:      time.Second,
		Deadline: 10 * time.Second,
	}
}

// returning returns the same request as prompt, but from a caller that has come back.
func returning(id string, tokens int, target time.Duration) pool.PlacementRequest {
	a := prompt(id, tokens, target)
	a.Returning = true
	return a
}

// TestWaitsForTimelyPlace checks that the request of a returning caller waits while it would be
// late if placed now, but may be in time later. Once it can't be in time any more, it is placed
// late.
func TestWaitsForTimelyPlace(t *testing.T) {
	t.Run("room in time", func(t *testing.T) {
		withSlowEngine(t, func(ctx context.Context, is *is.I, s *pool.Scheduler) {
			_, err := s.Place(ctx, prompt("before", 100_000, 5*time.Second))
			is.NoErr(err)
			time.AfterFunc(300*time.Millisecond, func() { s.End("before", "engines", pool.Abandoned, "") })
			g, err := s.Place(ctx, returning("r", 50_000, 1400*time.Millisecond))
			is.NoErr(err)
			is.True(g.Waited >= 300*time.Millisecond)
			is.True(g.Waited+g.FirstEventIn < 1400*time.Millisecond)
		})
	})
	t.Run("no room in time", func(t *testing.T) {
		withSlowEngine(t, func(ctx context.Context, is *is.I, s *pool.Scheduler) {
			_, err := s.Place(ctx, prompt("before", 400_000, 5*time.Second))
			is.NoErr(err)
			g, err := s.Place(ctx, returning("r", 50_000, 1400*time.Millisecond))
			is.NoErr(err)
			is.True(g.Waited > 0)
			is.True(g.Waited < 1400*time.Millisecond)
		})
	})
}

// TestRefusedAtOnce checks that a request which can't be served as its caller needs it is refused
// at once, with a RetryAfter no shorter than the time until there is room.
func TestRefusedAtOnce(t *testing.T) {
	for _, row := range []struct {
		name string
		// before is the number of tokens that the engine has to prefill when the request
		// arrives.
		before  int
		request pool.PlacementRequest
		// after is the least RetryAfter; zero means that the request is placed.
		after time.Duration
	}{
		{"first try in time", 50_000, prompt("r", 50_000, 1400*time.Millisecond), 0},
		{"first try too late", 400_000, prompt("r", 50_000, 1400*time.Millisecond), 4 * time.Second},
		{"returning, late", 400_000, returning("r", 50_000, 1400*time.Millisecond), 0},
		{"returning, after its caller gives up", 800_000, returning("r", 50_000, 1400*time.Millisecond), 8 * time.Second},
	} {
		t.Run(row.name, func(t *testing.T) {
			withSlowEngine(t, func(ctx context.Context, is *is.I, s *pool.Scheduler) {
				_, err := s.Place(ctx, prompt("before", row.before, 10*time.Second))
				is.NoErr(err)
				began := time.Now()
				_, err = s.Place(ctx, row.request)
				if row.after == 0 {
					is.NoErr(err)
					return
				}
				var r *pool.Refusal
				is.True(errors.As(err, &r))
				is.Equal(time.Since(began), time.Duration(0))
				is.True(r.RetryAfter >= row.after)
			})
		})
	}
}

// TestShortWaitsForSlot checks that the short request of a returning caller waits for a slot,
// however much prefill is pending, since it is prefilled beside the long prompts.
func TestShortWaitsForSlot(t *testing.T) {
	withSlowEngine(t, func(ctx context.Context, is *is.I, s *pool.Scheduler) {
		for i := range 4 {
			_, err := s.Place(ctx, prompt(fmt.Sprint("before", i), 100_000, 10*time.Second))
			is.NoErr(err)
		}
		time.AfterFunc(500*time.Millisecond, func() {
			for i := range 4 {
				s.End(fmt.Sprint("before", i), "engines", pool.Abandoned, "")
			}
		})
		a := returning("r", 1000, 300*time.Millisecond)
		a.Gap = 250 * time.Millisecond
		g, err := s.Place(ctx, a)
		is.NoErr(err)
		is.True(g.Waited >= 500*time.Millisecond)
	})
}

// TestPriorityInQueue checks that of two requests that wait for a slot, the one with the higher
// priority goes first though it arrived later.
func TestPriorityInQueue(t *testing.T) {
	withSlowEngine(t, func(ctx context.Context, is *is.I, s *pool.Scheduler) {
		for i := range 4 {
			_, err := s.Place(ctx, prompt(fmt.Sprint("before", i), 1000, 10*time.Second))
			is.NoErr(err)
		}
		order := make(chan string, 2)
		submit := func(id string, rank int) {
			a := returning(id, 1000, 3*time.Second)
			a.Rank = rank
			if _, err := s.Place(ctx, a); err == nil {
				order <- id
			}
		}
		go submit("lower", 2)
		time.Sleep(100 * time.Millisecond)
		go submit("higher", 0)
		time.Sleep(100 * time.Millisecond)
		s.End("before0", "engines", pool.Served, "")
		is.Equal(<-order, "higher")
		s.End("before1", "engines", pool.Served, "")
		is.Equal(<-order, "lower")
	})
}
