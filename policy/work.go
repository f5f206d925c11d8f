// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package policy

import (
	"time"
)

// Class groups requests by prompt length.
type Class int

// Classes of prompt length.
const (
	// Short prompts have up to ShortTokens.
	Short Class = iota
	// Medium prompts have up to MediumTokens.
	Medium
	// Long prompts have up to LongTokens.
	Long
	// Huge prompts are longer.
	Huge
)

// Classes is the number of classes.
const Classes = 4

// Upper bounds of the classes, in tokens.
const (
	ShortTokens  = 4_000
	MediumTokens = 32_000
	LongTokens   = 250_000
)

// ClassOf returns the class of a prompt of n tokens.
func ClassOf(n int) Class {
	switch {
	case n <= ShortTokens:
		return Short
	case n <= MediumTokens:
		return Medium
	case n <= LongTokens:
		return Long
	}
	return Huge
}

// String returns the class's name.
func (c Class) String() string {
	switch c {
	case Short:
		return "short"
	case Medium:
		return "medium"
	case Long:
		return "long"
	case Huge:
		return "huge"
	}
	return "unknown"
}

// Ranks is the number of ranks that summaries distinguish. Greater ranks count as the last one.
const Ranks = 3

// Priorities is the number of priorities.
const Priorities = Ranks * Classes

// Priority returns the priority of a rank and class; lower values go first.
func Priority(rank int, c Class) int {
	return min(max(rank, 0), Ranks-1)*Classes + int(c)
}

// Work describes a request, or its share for one endpoint.
type Work struct {
	// ID identifies the request.
	ID string
	// Customer identifies the customer.
	Customer string
	// Rank is the rank of the request's tier; lower ranks go first.
	Rank int
	// MaxWait is the waiting time that improves the rank by one; zero disables ageing.
	MaxWait time.Duration
	// Prompt is the length of the prompt, or of this endpoint's share of it, in tokens.
	Prompt int
	// Output is the maximum length of the answer in tokens.
	Output int
	// Bytes is the KV memory that the request holds from start to end.
	Bytes int64
	// Prefix is a hash of the beginning of the prompt; zero means none.
	Prefix uint64
	// Arrived is when the request arrived.
	Arrived time.Time
	// Deadline is when the answer must be complete.
	Deadline time.Time
}

// Class returns the length class of the prompt.
func (w *Work) Class() Class {
	return ClassOf(w.Prompt)
}

// RankAt returns the rank at the given time, improved by ageing. It may be negative.
func (w *Work) RankAt(now time.Time) int {
	if w.MaxWait <= 0 {
		return w.Rank
	}
	return w.Rank - int(now.Sub(w.Arrived)/w.MaxWait)
}
