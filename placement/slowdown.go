// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import (
	"slices"
	"time"
)

// slowdown returns how many times as long as by its model the engine takes.
func (e *Engine) slowdown() float64 {
	if e.Slowdown <= 0 {
		return 1
	}
	return e.Slowdown
}

// Speed returns what the engine does in a second, in seconds of its model: the inverse
// of its pace.
func (e *Engine) Speed() float64 {
	return 1 / e.slowdown()
}

// scaled returns how long the engine takes for what takes a time by its model.
func (e *Engine) scaled(d time.Duration) time.Duration {
	if e.Slowdown <= 0 || e.Slowdown == 1 {
		return d
	}
	return time.Duration(float64(d) * e.Slowdown)
}

// SetSlowdown changes the pace at a moment. What is left of the present pass takes as much
// more or less.
func (e *Engine) SetSlowdown(pace float64, now time.Time) {
	e.Advance(now)
	before := e.slowdown()
	e.Slowdown = pace
	if e.passEnd.IsZero() {
		return
	}
	left := float64(e.passEnd.Sub(now)) * e.slowdown() / before
	e.passEnd = now.Add(time.Duration(left))
}

// minPrefillTime returns the least time in which some of the engines can read a prompt
// together in equal parts: the quickest ones, as many as make the slowest of them no
// hindrance.
func minPrefillTime(engines []*Engine, prompt int) time.Duration {
	model := engines[0].Model
	most := min(len(engines), MaxPrefillEngines)
	if !slices.ContainsFunc(engines, func(e *Engine) bool { return e.slowdown() != 1 }) {
		return model.PrefillTime(prompt, most)
	}
	paces := make([]float64, 0, len(engines))
	for _, e := range engines {
		paces = append(paces, e.slowdown())
	}
	slices.Sort(paces)
	least := time.Duration(0)
	for i, pace := range paces[:most] {
		read := time.Duration(float64(model.PrefillTime(prompt, i+1)) * pace)
		if i == 0 || read < least {
			least = read
		}
	}
	return least
}
