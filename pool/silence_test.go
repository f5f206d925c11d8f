// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/pool"
)

// replacing returns a placement request that is to replace a silent attempt.
func replacing(attempt string, silence, patience time.Duration) pool.PlacementRequest {
	a := prompt("again", 1000, time.Second)
	a.Retry = true
	a.Replaces = pool.ReplacedAttempt{
		ID:        attempt,
		SilentFor: silence,
		Patience:  patience,
	}
	return a
}

// TestExpectedSilenceKeepsAttempt guards against replacing a stream whose engine is prefilling its
// prompt as predicted, and against keeping one whose caller would give up first or whose silence
// has another cause.
func TestExpectedSilenceKeepsAttempt(t *testing.T) {
	for _, row := range []struct {
		name     string
		silence  time.Duration
		patience time.Duration
		kept     bool
	}{
		{"expected", 1300 * time.Millisecond, 5 * time.Second, true},
		{"expected, but the caller gives up first", 1300 * time.Millisecond, time.Second, false},
		{"longer than expected", 3500 * time.Millisecond, 5 * time.Second, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			withSlowEngine(t, func(ctx context.Context, is *is.I, s *pool.Scheduler) {
				_, err := s.Place(ctx, prompt("silent", 300_000, 10*time.Second))
				is.NoErr(err)
				time.Sleep(row.silence)
				_, r, ok := s.Submit(replacing("silent", row.silence, row.patience)).Decision()
				is.Equal(ok && r != nil && r.KeepReplaced, row.kept)
				if row.kept {
					is.True(r.RetryAfter > 1500*time.Millisecond && r.RetryAfter < 2500*time.Millisecond)
				}
			})
		})
	}
}

// TestExpectedSilenceIsNoFault guards against ejecting an engine whose streams are silent during a
// predicted prefill, and against keeping one whose streams are silent without such a prefill.
func TestExpectedSilenceIsNoFault(t *testing.T) {
	for _, row := range []struct {
		name    string
		prompt  int
		ejected bool
	}{
		{"prefills a long prompt", 150_000, false},
		{"has no long prompt", 100, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			withSlowEngine(t, func(ctx context.Context, is *is.I, s *pool.Scheduler) {
				ids := []string{"a", "b", "c", "d"}
				for _, id := range ids {
					_, err := s.Place(ctx, prompt(id, row.prompt, 30*time.Second))
					is.NoErr(err)
				}
				time.Sleep(1500 * time.Millisecond)
				for _, id := range ids {
					s.End(id, "engines", pool.Silent, "")
				}
				is.Equal(len(s.UnusableEndpoints("engines")) > 0, row.ejected)
			})
		})
	}
}
