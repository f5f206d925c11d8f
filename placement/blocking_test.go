// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBlockingCost guards against streams with short pause limits that keep long prefills off an
// empty engine, and against requests that become late to avoid this.
func TestBlockingCost(t *testing.T) {
	engine := func(name string, gap time.Duration) *Engine {
		e := &Engine{
			Instance: name,
			Model:    testModel(),
			Slots:    8,
		}
		if gap > 0 {
			j := testJob("decoding", 0)
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
		{"no long prefills", 0, time.Minute, "empty"},
		{"long prefills", 0.8, time.Minute, "other"},
		{"late on the other engine", 0.8, 310 * time.Millisecond, "empty"},
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

// TestOpenFraction checks the fraction of long prefills that an engine is open to.
func TestOpenFraction(t *testing.T) {
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
