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

// clockPool is a scheduler for one pool of engines whose clock the test advances.
type clockPool struct {
	*Scheduler

	now time.Time
}

// newClockPool returns a pool of engines that prefill 154 tokens per millisecond.
func newClockPool(engines int) *clockPool {
	c := &clockPool{
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

// stream returns a request for a short stream. Each has a prompt of a different length, by which
// the scheduler recognizes it when its caller reconnects.
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

// interruptStreams places n streams, lets them start, and ends them all as abandoned.
func (c *clockPool) interruptStreams(is *is.I, n int) {
	for i := range n {
		g, _, ok := c.Submit(stream(i)).Decision()
		is.True(ok)
		c.now = c.now.Add(g.FirstEventIn)
		c.FirstEvent(stream(i).ID, "engines")
	}
	c.now = c.now.Add(500 * time.Millisecond)
	for i := range n {
		c.End(stream(i).ID, "engines", Abandoned, "")
	}
}

// reconnecting returns the request with which the caller of an interrupted stream reconnects.
func reconnecting(i int) PlacementRequest {
	a := stream(i)
	a.ID += "-back"
	a.Resumed = true
	a.DueIn = a.Gap
	return a
}

// TestDueTimeOfReconnect guards against a wrong due time of the next event of a caller that
// reconnects. The due time follows from the caller's interrupted attempt while the owner remembers
// that attempt.
func TestDueTimeOfReconnect(t *testing.T) {
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
		{"stream that comes back after a second", true, func(*PlacementRequest) {}, time.Second, 250 * time.Millisecond},
		{"resumed by the same entry instance", true, func(a *PlacementRequest) { a.Retry, a.DueIn = true, 40*time.Millisecond }, later, 40 * time.Millisecond},
		{"no event yet", false, func(a *PlacementRequest) { a.Resumed = false }, later, 90 * time.Millisecond},
		{"no event before the interruption, but resumed", false, func(*PlacementRequest) {}, later, 250 * time.Millisecond},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			c := newClockPool(1)
			_, _, ok := c.Submit(stream(0)).Decision()
			is.True(ok)
			c.now = c.now.Add(100 * time.Millisecond)
			if row.begun {
				c.FirstEvent("s0", "engines")
			}
			c.End("s0", "engines", Abandoned, "")
			c.now = c.now.Add(row.after)
			a := reconnecting(0)
			row.change(&a)
			w := c.Submit(a)
			is.Equal(w.request.TargetAt.Sub(c.now), row.want)
		})
	}
	t.Run("asked for again beside another like it", func(t *testing.T) {
		is := is.New(t)
		c := newClockPool(1)
		for _, id := range []string{"first", "second"} {
			a := stream(0)
			a.ID = id
			_, _, ok := c.Submit(a).Decision()
			is.True(ok)
			c.now = c.now.Add(200 * time.Millisecond)
		}
		c.End("second", "engines", Abandoned, "")
		c.End("first", "engines", Abandoned, "")
		again := stream(0)
		again.Target = -150 * time.Millisecond
		is.Equal(c.Submit(again).request.TargetAt.Sub(c.now), again.Target)
	})
	t.Run("each stream once", func(t *testing.T) {
		is := is.New(t)
		c := newClockPool(1)
		c.interruptStreams(is, 1)
		c.now = c.now.Add(later)
		is.Equal(c.Submit(reconnecting(0)).request.TargetAt.Sub(c.now), 190*time.Millisecond)
		second := reconnecting(0)
		second.ID = "other"
		is.Equal(c.Submit(second).request.TargetAt.Sub(c.now), 250*time.Millisecond)
	})
}

// TestUnusedGrantIsNoInterruption guards against a grant that was declined, or whose request was withdrawn,
// and that counts as an attempt whose caller will reconnect.
func TestUnusedGrantIsNoInterruption(t *testing.T) {
	is := is.New(t)
	c := newClockPool(1)
	_, _, ok := c.Submit(stream(0)).Decision()
	is.True(ok)
	c.now = c.now.Add(100 * time.Millisecond)
	c.End("s0", "engines", Unused, "")
	other := stream(0)
	other.ID = "other"
	is.Equal(c.Submit(other).request.TargetAt.Sub(c.now), other.Target)
	is.Equal(c.Stats()["engines"].Interrupted, 0)
}

// TestReconnectBurstSpreads guards against a reconnect burst that is crowded onto few engines, so
// that some of its streams are predicted to be late.
func TestReconnectBurstSpreads(t *testing.T) {
	is := is.New(t)
	const engines, streams = 8, 24
	c := newClockPool(engines)
	c.interruptStreams(is, streams)
	const late = 110 * time.Millisecond
	c.now = c.now.Add(late)
	for i := range streams {
		g, _, ok := c.Submit(reconnecting(i)).Decision()
		is.True(ok)
		is.True(g.FirstEventIn <= 250*time.Millisecond-late)
	}
}

// TestPrefillWaitsForReconnectBurst guards against a long prefill that starts in the middle of a
// reconnect burst although it could wait, and against one that waits needlessly.
func TestPrefillWaitsForReconnectBurst(t *testing.T) {
	for _, row := range []struct {
		name string
		// interrupted is the number of interrupted streams, in a pool of eight engines.
		interrupted int
		prompt      int
		target      time.Duration
		waits       bool
	}{
		{"nothing was interrupted", 0, 60_000, 1500 * time.Millisecond, false},
		{"few were interrupted", 3, 60_000, 1500 * time.Millisecond, false},
		{"has time left", 24, 60_000, 1500 * time.Millisecond, true},
		{"is late anyway", 24, 150_000, 100 * time.Millisecond, true},
		{"has no time left and is worth more than its engines' share of the burst", 24, 60_000, 520 * time.Millisecond, false},
		{"has a short prompt", 24, 3000, 150 * time.Millisecond, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			c := newClockPool(8)
			c.interruptStreams(is, row.interrupted)
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
			// The burst is due 250 ms after the interruption.
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

// TestIsShort guards against a wrong distinction between requests that wait for slots and those
// that wait for prefill. The time left of a resumed stream says nothing about its prompt.
func TestIsShort(t *testing.T) {
	for _, row := range []struct {
		name    string
		request PlacementRequest
		want    bool
	}{
		{"short target", PlacementRequest{Target: 250 * time.Millisecond}, true},
		{"long target", PlacementRequest{Target: 1500 * time.Millisecond}, false},
		{"resumed with short pauses", PlacementRequest{Target: 8 * time.Second, Gap: 250 * time.Millisecond, Resumed: true}, true},
		{"resumed with long pauses", PlacementRequest{Target: -2 * time.Second, Gap: time.Second, Resumed: true}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(row.request.isShort(), row.want)
		})
	}
}
