// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestKeepsOpen places a stream on one of two engines: an empty one, or one with a less
// patient stream. While long prompts are read it goes where it closes nothing, but never
// late for that.
func TestKeepsOpen(t *testing.T) {
	engine := func(name string, gap time.Duration) *Engine {
		e := &Engine{
			Instance: name,
			Model:    readingModel(),
			Slots:    8,
		}
		if gap > 0 {
			j := readingJob("writer", 0)
			j.Gap = gap
			e.Add(j, origin)
		}
		return e
	}
	for _, row := range []struct {
		name   string
		share  float64
		target time.Duration
		want   string
	}{
		{"nothing is read", 0, time.Minute, "empty"},
		{"long prompts are read", 0.8, time.Minute, "other"},
		{"in time on the empty one only", 0.8, 310 * time.Millisecond, "empty"},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			p, ok := MakePlan([]*Engine{
				engine("empty", 0),
				engine("other", 400*time.Millisecond),
			}, Request{
				Prompt:    25_000,
				Output:    1000,
				Gap:       800 * time.Millisecond,
				TargetAt:  origin.Add(row.target),
				Worth:     1,
				LateWorth: 0.25,
				LongPrefills: LongPrefills{
					EngineShare: row.share,
					MaxGap:      time.Second,
				},
			}, origin)
			is.True(ok)
			is.Equal(p.Engine.Instance, row.want)
		})
	}
}

// TestOpen holds which part of the readings an engine is open to.
func TestOpen(t *testing.T) {
	l := LongPrefills{
		MaxGap: time.Second,
	}
	for _, row := range []struct {
		gap  time.Duration
		want float64
	}{
		{0, 1},
		{250 * time.Millisecond, 0.25},
		{time.Second, 1},
		{2 * time.Second, 1},
	} {
		t.Run(row.gap.String(), func(t *testing.T) {
			is := is.New(t)
			is.Equal(l.openFraction(row.gap), row.want)
		})
	}
}
