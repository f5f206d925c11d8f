// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/placement"
)

// slowed returns n engines, of which those at the given indices have a slowdown.
func slowed(n int, slowdown float64, slow ...int) []*placement.Engine {
	list := engines(n)
	for _, i := range slow {
		list[i].Slowdown = slowdown
	}
	return list
}

// assertAbout fails when got differs from want by more than one percent.
func assertAbout(t *testing.T, got, want time.Duration) {
	t.Helper()
	if off := (got - want).Abs(); off > want/100 {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestSlowdownScales checks that the slowdown applies to every prediction.
func TestSlowdownScales(t *testing.T) {
	const slowdown = 3
	model := model()
	prefill := model.PrefillTime(45_000, 1)
	t.Run("pending prefill", func(t *testing.T) {
		e := slowed(1, slowdown, 0)[0]
		plan := mustMake(t, []*placement.Engine{e}, long(45_000, start), start)
		plan.Apply(long(45_000, start), start)
		assertAbout(t, e.PendingPrefill(), slowdown*prefill)
		e.Advance(start.Add(2 * prefill))
		is.New(t).True(e.PendingPrefill() > 0)
		e.Advance(start.Add(slowdown*prefill + time.Millisecond))
		is.New(t).Equal(e.PendingPrefill(), time.Duration(0))
	})
	t.Run("first event, idle", func(t *testing.T) {
		plan := mustMake(t, slowed(1, slowdown, 0), long(45_000, start), start)
		assertAbout(t, plan.TimeToFirstEvent, slowdown*prefill)
	})
	t.Run("first event, while decoding", func(t *testing.T) {
		first := func(slowdown float64) time.Duration {
			e := slowed(1, slowdown, 0)[0]
			fill(e, 6, start)
			now := start.Add(2 * time.Second)
			e.Advance(now)
			list := []*placement.Engine{e}
			p := mustMake(t, list, short("one", now), now)
			return p.TimeToFirstEvent
		}
		// The remaining times of the current passes differ.
		is.New(t).True(first(slowdown) > 2*first(1))
	})
	t.Run("next event", func(t *testing.T) {
		is := is.New(t)
		e := slowed(1, slowdown, 0)[0]
		plan := mustMake(t, []*placement.Engine{e}, long(45_000, start), start)
		plan.Apply(long(45_000, start), start)
		left, explained := e.NextEvent("long", prefill, start.Add(prefill))
		is.True(explained)
		assertAbout(t, left, (slowdown-1)*prefill)
	})
	t.Run("zero counts as 1", func(t *testing.T) {
		plan := mustMake(t, engines(1), long(45_000, start), start)
		assertAbout(t, plan.TimeToFirstEvent, prefill)
		is.New(t).Equal(engines(1)[0].Speed(), 1.0)
	})
}

// TestSlowdownChanges checks that a change of the slowdown rescales the rest of the current
// pass.
func TestSlowdownChanges(t *testing.T) {
	model := model()
	prefill := model.PrefillTime(45_000, 1)
	e := engines(1)[0]
	plan := mustMake(t, []*placement.Engine{e}, long(45_000, start), start)
	plan.Apply(long(45_000, start), start)
	e.SetSlowdown(4, start.Add(prefill/2))
	left, _ := e.NextEvent("long", prefill/2, start.Add(prefill/2))
	assertAbout(t, left, 2*prefill)
	e.SetSlowdown(1, start.Add(prefill/2+prefill))
	left, _ = e.NextEvent("long", prefill/2, start.Add(prefill/2+prefill))
	assertAbout(t, left, prefill/4)
}

// TestSlowEngines checks that slow engines take requests that they can serve on time, and that
// all others go to fast ones.
func TestSlowEngines(t *testing.T) {
	t.Run("short prompts go to fast engines", func(t *testing.T) {
		is := is.New(t)
		list := slowed(4, 8, 0, 1)
		p := mustMake(t, list, short("one", start), start)
		is.Equal(p.Engine.Instance, "e02")
		is.Equal(p.OwnLoss, 0.0)
	})
	t.Run("streams with short pause limits go to fast engines", func(t *testing.T) {
		is := is.New(t)
		list := slowed(2, 7, 0)
		fill(list[1], 3, start)
		now := start.Add(time.Second)
		r := short("one", now)
		r.TargetAt = now.Add(5 * time.Second)
		p := mustMake(t, list, r, now)
		is.Equal(p.Engine.Instance, "e01")
	})
	t.Run("requests with generous limits are on time on slow engines", func(t *testing.T) {
		is := is.New(t)
		r := long(45_000, start)
		p := mustMake(t, slowed(1, 3, 0), r, start)
		is.Equal(p.OwnLoss, 0.0)
		is.Equal(p.DecodeCost, 0.0)
	})
	t.Run("joint prefills avoid slow engines", func(t *testing.T) {
		is := is.New(t)
		list := slowed(6, 3, 4, 5)
		p := mustMake(t, list, long(200_000, start), start)
		is.True(len(p.Others) > 0)
		is.True(p.Engine.Slowdown != 3)
		for _, o := range p.Others {
			is.True(o.Engine.Slowdown != 3)
		}
	})
}

// TestMinPrefillTime compares the minimum prefill time with worked examples.
func TestMinPrefillTime(t *testing.T) {
	model := model()
	r := long(400_000, start)
	for _, row := range []struct {
		name string
		list []*placement.Engine
		want time.Duration
	}{
		{"all fast", engines(4), model.PrefillTime(400_000, 4)},
		{"all slow", slowed(4, 2, 0, 1, 2, 3), 2 * model.PrefillTime(400_000, 4)},
		{"slow engine excluded", slowed(4, 3, 1), model.PrefillTime(400_000, 3)},
		{"slow engine helps", slowed(2, 1.5, 1), 3 * model.PrefillTime(400_000, 2) / 2},
	} {
		t.Run(row.name, func(t *testing.T) {
			assertAbout(t, placement.MinPrefillTime(row.list, r), row.want)
		})
	}
}
