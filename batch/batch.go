// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package batch

import (
	"math"
	"time"
)

// The units of the measures.
const (
	thousand = 1000
	million  = 1e6
)

// Model holds the measures of an engine.
type Model struct {
	// Slots bounds the requests that run at once.
	Slots int
	// Capacity is the memory for context, in tokens.
	Capacity int
	// StepsPerPass is the number of steps in a pass that has writers.
	StepsPerPass int
	// Chunk bounds the prompt tokens that are read in a step; zero means no
	// bound.
	Chunk int
	// Step is the time of a step without what its writers and their context add.
	Step time.Duration
	// PerSequence is what each writer adds to a step.
	PerSequence time.Duration
	// PerThousandContext is what a thousand tokens of context add to a step.
	PerThousandContext time.Duration
	// PrefillPerSecond is the number of prompt tokens read in a second.
	PrefillPerSecond float64
	// PerMillionPairs is what a million pairs of tokens add to reading.
	PerMillionPairs time.Duration
	// JointOverhead is what a step takes longer when several engines hold its context.
	JointOverhead time.Duration
}

// PrefillTime returns the time that each of n engines takes to read its part of a
// prompt.
func (m *Model) PrefillTime(tokens, n int) time.Duration {
	if tokens <= 0 || n <= 0 {
		return 0
	}
	t := float64(tokens)
	d := time.Duration(0)
	if m.PrefillPerSecond > 0 {
		d = time.Duration(t / m.PrefillPerSecond * float64(time.Second))
	}
	pairs := t * (t - 1) / 2
	d += time.Duration(pairs / million * float64(m.PerMillionPairs))
	return d / time.Duration(n)
}

// PassTime returns the time of a pass without reading: writers requests with
// context tokens together get StepsPerPass tokens each. Without writers it is that of
// one step.
func (m *Model) PassTime(writers, context int) time.Duration {
	if writers == 0 {
		return m.Step
	}
	step := m.Step + time.Duration(writers)*m.PerSequence
	step += time.Duration(float64(context) / thousand * float64(m.PerThousandContext))
	return step * time.Duration(max(m.StepsPerPass, 1))
}

// PrefillBudget returns how many prompt tokens a pass reads at the most; math.MaxInt when
// there is no bound.
func (m *Model) PrefillBudget(writers int) int {
	if m.Chunk <= 0 {
		return math.MaxInt
	}
	if writers == 0 {
		return m.Chunk
	}
	return m.Chunk * max(m.StepsPerPass, 1)
}

// Work returns the time of one engine that a request takes: that of reading its prompt,
// however many engines share it, and its part of the steps that write, which the
// requests of all slots share.
func (m *Model) Work(prompt, output int) time.Duration {
	write := time.Duration(output) * m.Step / time.Duration(max(m.Slots, 1))
	return m.PrefillTime(prompt, 1) + write
}
