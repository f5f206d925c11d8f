// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/route"
)

// crowdPool is a pool of engines whose time stands still until it is moved.
type crowdPool struct {
	*Scheduler

	now time.Time
}

// newCrowdPool returns a pool of a number of engines that read 154 tokens in a
// millisecond.
func newCrowdPool(engines int) *crowdPool {
	c := &crowdPool{
		now: moment,
	}
	c.Scheduler = NewScheduler(Settings{
		Self: "n0",
		Now:  func() time.Time { return c.now },
		Draw: func(time.Duration) time.Duration { return 0 },
	}, logr.Discard())
	snap := &catalog.Snapshot{
		Table: route.New(1, nil, []route.Service{
			{
				Name: "engines",
				Engine: &batch.Model{
					Slots:            12,
					Capacity:         400_000,
					StepsPerPass:     34,
					Chunk:            2048,
					Step:             1310 * time.Microsecond,
					PrefillPerSecond: 154_000,
				},
			},
		}, nil, false, route.Limits{}),
		Endpoints: make(map[string]catalog.Endpoint),
	}
	for i := range engines {
		name := fmt.Sprintf("e%02d", i)
		snap.Endpoints[name] = catalog.Endpoint{
			Instance: name,
			Service:  "engines",
			Address:  name + ":1",
			Slots:    12,
		}
	}
	c.Update(snap)
	return c
}

// stream is an ask for a short stream; each has a prompt of another length, by which it
// is known when it returns.
func stream(i int) PlacementRequest {
	return PlacementRequest{
		ID:       fmt.Sprint("s", i),
		Service:  "engines",
		Customer: "c",
		Prompt:   4000 + i,
		Output:   500,
		Target:   250 * time.Millisecond,
		Gap:      250 * time.Millisecond,
		Deadline: 10 * time.Second,
	}
}

// cut places a number of streams, lets them begin, and cuts them all.
func (c *crowdPool) cut(is *is.I, n int) {
	for i := range n {
		g, _, ok := c.Submit(stream(i)).Decision()
		is.True(ok)
		c.now = c.now.Add(g.FirstEventIn)
		c.First(stream(i).ID, "engines")
	}
	c.now = c.now.Add(500 * time.Millisecond)
	for i := range n {
		c.End(stream(i).ID, "engines", Abandoned, "")
	}
}

// back returns the ask by which a stream that was cut returns.
func back(i int) PlacementRequest {
	a := stream(i)
	a.ID += "-back"
	a.Resumed = true
	a.DueIn = a.Gap
	return a
}

// TestDueByCut looks when a request is due that returns: by what it was cut from, as far
// as the owner knows that.
func TestDueByCut(t *testing.T) {
	const later = 60 * time.Millisecond
	for _, row := range []struct {
		name   string
		begun  bool
		change func(a *PlacementRequest)
		after  time.Duration
		want   time.Duration
	}{
		{"stream", true, func(*PlacementRequest) {}, later, 190 * time.Millisecond},
		{"stream of another customer", true, func(a *PlacementRequest) { a.Customer = "d" }, later, 250 * time.Millisecond},
		{"stream after a second", true, func(*PlacementRequest) {}, time.Second, 250 * time.Millisecond},
		{"stream that its entry has taken up", true, func(a *PlacementRequest) { a.Retry, a.DueIn = true, 40*time.Millisecond }, later, 40 * time.Millisecond},
		{"no event yet", false, func(a *PlacementRequest) { a.Resumed = false }, later, 90 * time.Millisecond},
		{"no event yet, and events now", false, func(*PlacementRequest) {}, later, 250 * time.Millisecond},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			c := newCrowdPool(1)
			_, _, ok := c.Submit(stream(0)).Decision()
			is.True(ok)
			c.now = c.now.Add(100 * time.Millisecond)
			if row.begun {
				c.First("s0", "engines")
			}
			c.End("s0", "engines", Abandoned, "")
			c.now = c.now.Add(row.after)
			a := back(0)
			row.change(&a)
			w := c.Submit(a)
			is.Equal(w.request.TargetAt.Sub(c.now), row.want)
		})
	}
	t.Run("each stream once", func(t *testing.T) {
		is := is.New(t)
		c := newCrowdPool(1)
		c.cut(is, 1)
		c.now = c.now.Add(later)
		is.Equal(c.Submit(back(0)).request.TargetAt.Sub(c.now), 190*time.Millisecond)
		second := back(0)
		second.ID = "other"
		is.Equal(c.Submit(second).request.TargetAt.Sub(c.now), 250*time.Millisecond)
	})
}

// TestCrowdSpreads looks that streams which return late spread over the engines, so that
// all of them are in time by their predictions.
func TestCrowdSpreads(t *testing.T) {
	is := is.New(t)
	const engines, streams = 8, 24
	c := newCrowdPool(engines)
	c.cut(is, streams)
	const late = 110 * time.Millisecond
	c.now = c.now.Add(late)
	for i := range streams {
		g, _, ok := c.Submit(back(i)).Decision()
		is.True(ok)
		is.True(g.FirstEventIn <= 250*time.Millisecond-late)
	}
}

// TestReadingWaitsForCrowd looks when a long reading waits until a crowd has returned.
func TestReadingWaitsForCrowd(t *testing.T) {
	for _, row := range []struct {
		name string
		// cut is how many streams of eight engines return.
		cut    int
		prompt int
		target time.Duration
		waits  bool
	}{
		{"nothing was cut", 0, 60_000, 1500 * time.Millisecond, false},
		{"few were cut", 3, 60_000, 1500 * time.Millisecond, false},
		{"has time left", 24, 60_000, 1500 * time.Millisecond, true},
		{"is late anyway", 24, 150_000, 100 * time.Millisecond, true},
		{"has no time left and is worth more than its engines' part", 24, 60_000, 520 * time.Millisecond, false},
		{"is short", 24, 3000, 150 * time.Millisecond, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			c := newCrowdPool(8)
			c.cut(is, row.cut)
			c.now = c.now.Add(20 * time.Millisecond)
			a := stream(1000)
			a.Prompt = row.prompt
			a.Target = row.target
			a.Returning = true
			a.Gap = time.Second
			w := c.Submit(a)
			_, r, ok := w.Decision()
			is.True(r == nil)
			is.Equal(ok, !row.waits)
			if !row.waits {
				return
			}
			// The crowd is due 250 ms after it was cut.
			c.now = c.now.Add(220 * time.Millisecond)
			c.Review()
			_, _, ok = w.Decision()
			is.True(!ok)
			c.now = c.now.Add(20 * time.Millisecond)
			c.Review()
			_, _, ok = w.Decision()
			is.True(ok)
		})
	}
}

// TestHurried looks which asks wait for slots rather than for reading: what is left of the
// target of a stream that goes on says nothing of its prompt.
func TestHurried(t *testing.T) {
	for _, row := range []struct {
		name string
		ask  PlacementRequest
		want bool
	}{
		{"short target", PlacementRequest{Target: 250 * time.Millisecond}, true},
		{"long target", PlacementRequest{Target: 1500 * time.Millisecond}, false},
		{"goes on with short pauses", PlacementRequest{Target: 8 * time.Second, Gap: 250 * time.Millisecond, Resumed: true}, true},
		{"goes on with long pauses", PlacementRequest{Target: -2 * time.Second, Gap: time.Second, Resumed: true}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(row.ask.isShort(), row.want)
		})
	}
}
