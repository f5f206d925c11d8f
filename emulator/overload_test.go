// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package emulator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/config"
	"github.com/linkmast/linkmast/emulator"
	"github.com/linkmast/linkmast/pool"
)

// inTimeShare returns the share of the requests arriving in [from, to) that kept all their
// worth.
func inTimeShare(requests []emulator.Request, r *emulator.Result, from, to time.Duration) float64 {
	all, kept := 0, 0
	for i, q := range requests {
		if q.At < from || q.At >= to {
			continue
		}
		all++
		if r.Outcomes[i].Cause == emulator.CauseNone {
			kept++
		}
	}
	return float64(kept) / float64(all)
}

// TestRecoveryFromSlowEngines slows a third of the engines under overload. It guards
// against retries that fill the remaining engines with late answers, and against a slow
// recovery.
func TestRecoveryFromSlowEngines(t *testing.T) {
	is := is.New(t)
	s := shortPromptSheet(30, 18*time.Second)
	s.Bursts = []emulator.Burst{{At: config.Duration(5 * time.Second), For: config.Duration(6 * time.Second), Factor: 2}}
	s.Faults = []emulator.Fault{{At: config.Duration(5 * time.Second), For: config.Duration(6 * time.Second), Engines: 2, Slowdown: 8}}
	requests := emulator.Draw(s, 1)
	r := emulator.Play(s, requests, pool.Settings{}, 1)
	before, during, after := inTimeShare(requests, r, 0, 2*time.Second), inTimeShare(requests, r, 6*time.Second, 11*time.Second), inTimeShare(requests, r, 12*time.Second, 18*time.Second)
	t.Log("in time:", before, during, after)
	is.True(before > 0.98)
	is.True(during > 0.3)
	is.True(after > 0.95*before)
}

// TestDelayToEngines checks that predictions account for the delay of messages to the
// engines and for requests that arrive during a pass.
func TestDelayToEngines(t *testing.T) {
	is := is.New(t)
	s := shortPromptSheet(30, 20*time.Second)
	s.Delay = config.Duration(2500 * time.Microsecond)
	requests := emulator.Draw(s, 1)
	r := emulator.Play(s, requests, pool.Settings{}, 1)
	p := r.Predictions
	t.Log("predictions met:", p.WithinTolerance, "of", p.Predicted, "in time:", inTimeShare(requests, r, 5*time.Second, 20*time.Second))
	is.True(float64(p.WithinTolerance) > 0.56*float64(p.Predicted))
	is.True(inTimeShare(requests, r, 5*time.Second, 20*time.Second) > 0.98)
}
