// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import (
	"slices"
	"time"
)

// slowdown returns the value of Slowdown, or 1 when it is not set.
func (e *Engine) slowdown() float64 {
	if e.Slowdown <= 0 {
		return 1
	}
	return e.Slowdown
}

// Speed returns the engine's speed relative to its model, the inverse of its slowdown.
func (e *Engine) Speed() float64 {
	return 1 / e.slowdown()
}

// scaled converts a time that the model predicts to the engine's actual time.
func (e *Engine) scaled(d time.Duration) time.Duration {
	if e.Slowdown <= 0 || e.Slowdown == 1 {
		return d
	}
	return time.Duration(float64(d) * e.Slowdown)
}

// SetSlowdown changes the slowdown at the given time and rescales the rest of the current pass.
func (e *Engine) SetSlowdown(slowdown float64, now time.Time) {
	e.Advance(now)
	before := e.slowdown()
	e.Slowdown = slowdown
	if e.passEnd.IsZero() {
		return
	}
	left := float64(e.passEnd.Sub(now)) * e.slowdown() / before
	e.passEnd = now.Add(time.Duration(left))
}

// shortestPrefill returns the shortest time in which some of the engines can prefill a prompt
// together in equal shares. For each number of engines it takes the fastest ones, since the
// slowest of them determines the time.
func shortestPrefill(engines []*Engine, prompt int) time.Duration {
	model := engines[0].Model
	count := min(len(engines), MaxPrefillEngines)
	if !slices.ContainsFunc(engines, func(e *Engine) bool { return e.slowdown() != 1 }) {
		return model.PrefillTime(prompt, count)
	}
	slowdowns := make([]float64, 0, len(engines))
	for _, e := range engines {
		slowdowns = append(slowdowns, e.slowdown())
	}
	slices.Sort(slowdowns)
	shortest := time.Duration(0)
	for i, slowdown := range slowdowns[:count] {
		prefill := time.Duration(float64(model.PrefillTime(prompt, i+1)) * slowdown)
		if i == 0 || prefill < shortest {
			shortest = prefill
		}
	}
	return shortest
}
