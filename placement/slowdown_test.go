// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/placement"
)

// slowed returns n engines of which some have a pace.
func slowed(n int, pace float64, slow ...int) []*placement.Engine {
	list := engines(n)
	for _, i := range slow {
		list[i].Slowdown = pace
	}
	return list
}

// assertAbout checks a time to a hundredth.
func assertAbout(t *testing.T, got, want time.Duration) {
	t.Helper()
	if off := (got - want).Abs(); off > want/100 {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestPaceScales looks that all that an engine does takes as much longer as its pace says.
func TestPaceScales(t *testing.T) {
	const pace = 3
	model := model()
	read := model.PrefillTime(45_000, 1)
	t.Run("unread", func(t *testing.T) {
		e := slowed(1, pace, 0)[0]
		plan := mustMake(t, []*placement.Engine{e}, long(45_000, start), start)
		plan.Apply(long(45_000, start), start)
		assertAbout(t, e.PendingPrefill(), pace*read)
		e.Advance(start.Add(2 * read))
		is.New(t).True(e.PendingPrefill() > 0)
		e.Advance(start.Add(pace*read + time.Millisecond))
		is.New(t).Equal(e.PendingPrefill(), time.Duration(0))
	})
	t.Run("first event, at rest", func(t *testing.T) {
		plan := mustMake(t, slowed(1, pace, 0), long(45_000, start), start)
		assertAbout(t, plan.TimeToFirstEvent, pace*read)
	})
	t.Run("first event, beside writers", func(t *testing.T) {
		first := func(pace float64) time.Duration {
			e := slowed(1, pace, 0)[0]
			fill(e, 6, start)
			now := start.Add(2 * time.Second)
			e.Advance(now)
			list := []*placement.Engine{e}
			p := mustMake(t, list, short("one", now), now)
			return p.TimeToFirstEvent
		}
		// What is left of the present pass differs.
		is.New(t).True(first(pace) > 2*first(1))
	})
	t.Run("sign that a job gives", func(t *testing.T) {
		is := is.New(t)
		e := slowed(1, pace, 0)[0]
		plan := mustMake(t, []*placement.Engine{e}, long(45_000, start), start)
		plan.Apply(long(45_000, start), start)
		left, reads := e.NextEvent("long", read, start.Add(read))
		is.True(reads)
		assertAbout(t, left, (pace-1)*read)
	})
	t.Run("zero counts as 1", func(t *testing.T) {
		plan := mustMake(t, engines(1), long(45_000, start), start)
		assertAbout(t, plan.TimeToFirstEvent, read)
		is.New(t).Equal(engines(1)[0].Speed(), 1.0)
	})
}

// TestPaceChanges looks that what is left of a pass takes longer from the moment on at
// which an engine turns slow, and less when it returns.
func TestPaceChanges(t *testing.T) {
	model := model()
	read := model.PrefillTime(45_000, 1)
	e := engines(1)[0]
	plan := mustMake(t, []*placement.Engine{e}, long(45_000, start), start)
	plan.Apply(long(45_000, start), start)
	e.SetSlowdown(4, start.Add(read/2))
	left, _ := e.NextEvent("long", read/2, start.Add(read/2))
	assertAbout(t, left, 2*read)
	e.SetSlowdown(1, start.Add(read/2+read))
	left, _ = e.NextEvent("long", read/2, start.Add(read/2+read))
	assertAbout(t, left, read/4)
}

// TestWhereSlowEnginesServe looks that slow engines get what they serve in time, and that
// what they would make late goes to quick ones.
func TestWhereSlowEnginesServe(t *testing.T) {
	t.Run("short prompts go to quick engines", func(t *testing.T) {
		is := is.New(t)
		list := slowed(4, 8, 0, 1)
		p := mustMake(t, list, short("one", start), start)
		is.Equal(p.Engine.Instance, "e02")
		is.Equal(p.OwnLoss, 0.0)
	})
	t.Run("streams whose pauses would be too long go to quick engines", func(t *testing.T) {
		is := is.New(t)
		list := slowed(2, 7, 0)
		fill(list[1], 3, start)
		now := start.Add(time.Second)
		r := short("one", now)
		r.TargetAt = now.Add(5 * time.Second)
		p := mustMake(t, list, r, now)
		is.Equal(p.Engine.Instance, "e01")
	})
	t.Run("long pauses and late targets stay in time on slow ones", func(t *testing.T) {
		is := is.New(t)
		r := long(45_000, start)
		p := mustMake(t, slowed(1, 3, 0), r, start)
		is.Equal(p.OwnLoss, 0.0)
		is.Equal(p.DecodeCost, 0.0)
	})
	t.Run("joint readings avoid a slow reader", func(t *testing.T) {
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

// TestSoonestOfUnlike holds the least time of reading against worked examples.
func TestSoonestOfUnlike(t *testing.T) {
	model := model()
	r := long(400_000, start)
	for _, row := range []struct {
		name string
		list []*placement.Engine
		want time.Duration
	}{
		{"all alike", engines(4), model.PrefillTime(400_000, 4)},
		{"all slow", slowed(4, 2, 0, 1, 2, 3), 2 * model.PrefillTime(400_000, 4)},
		{"a slow one is left out", slowed(4, 3, 1), model.PrefillTime(400_000, 3)},
		{"a slow one helps", slowed(2, 1.5, 1), 3 * model.PrefillTime(400_000, 2) / 2},
	} {
		t.Run(row.name, func(t *testing.T) {
			assertAbout(t, placement.MinPrefillTime(row.list, r), row.want)
		})
	}
}
