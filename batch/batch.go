// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package batch

import (
	"math"
	"time"
)

// Numbers of tokens and of token pairs that the measures refer to.
const (
	thousand = 1000
	million  = 1e6
)

// Model holds the performance figures of an engine.
type Model struct {
	// Slots is the maximum number of requests that run at once.
	Slots int
	// Capacity is the memory for context, in tokens.
	Capacity int
	// StepsPerPass is the number of decode steps in a pass.
	StepsPerPass int
	// Chunk is the maximum number of prompt tokens prefilled per step; zero means no limit.
	Chunk int
	// Step is the duration of a step without the parts that grow with the decoding requests and
	// their context.
	Step time.Duration
	// PerSequence is the additional time of a step for each decoding request.
	PerSequence time.Duration
	// PerThousandContext is the additional time of a step for each thousand tokens of context.
	PerThousandContext time.Duration
	// PrefillPerSecond is the prefill rate in tokens per second, without the additional time of
	// PerMillionPairs.
	PrefillPerSecond float64
	// PerMillionPairs is the additional prefill time for each million pairs of tokens.
	PerMillionPairs time.Duration
	// JointOverhead is the additional time of a step when several engines hold the context. The
	// methods of Model ignore it.
	JointOverhead time.Duration
}

// PrefillTime returns the time that each of n engines takes for its share of a prompt of the
// given length.
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

// PassTime returns the duration of a pass without prefill, in which each decoding request gets
// StepsPerPass tokens. Context is the sum of their contexts in tokens. Without decoding
// requests it returns the duration of one step.
func (m *Model) PassTime(decoding, context int) time.Duration {
	if decoding == 0 {
		return m.Step
	}
	step := m.Step + time.Duration(decoding)*m.PerSequence
	step += time.Duration(float64(context) / thousand * float64(m.PerThousandContext))
	return step * time.Duration(max(m.StepsPerPass, 1))
}

// PrefillBudget returns the maximum number of prompt tokens that a pass prefills; math.MaxInt
// when there is no limit. Without decoding requests it returns that of one step.
func (m *Model) PrefillBudget(decoding int) int {
	if m.Chunk <= 0 {
		return math.MaxInt
	}
	if decoding == 0 {
		return m.Chunk
	}
	return m.Chunk * max(m.StepsPerPass, 1)
}

// Work returns the engine time that a request takes: the prefill of its whole prompt, however many
// engines share it, and its part of the decode steps if all slots are in use. It counts each decode
// step as Step.
func (m *Model) Work(prompt, output int) time.Duration {
	decode := time.Duration(output) * m.Step / time.Duration(max(m.Slots, 1))
	return m.PrefillTime(prompt, 1) + decode
}
