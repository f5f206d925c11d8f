// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/route"
)

// TestPendingPrefillOfUnequalEngines checks that pending prefill is summed at the speed of the
// model, and that a slow engine adds less than 1 to the total speed.
func TestPendingPrefillOfUnequalEngines(t *testing.T) {
	is := is.New(t)
	p := busyPool()
	p.list = append(p.list, busyPool().list...)
	p.list[1].SetSlowdown(4, moment)
	is.Equal(p.list[1].PendingPrefill(), 4*p.list[0].PendingPrefill())
	is.Equal(p.pendingPrefill(), 20*time.Second)
	is.Equal(totalSpeed(p.list), 1.25)
	is.Equal(p.countSlow(), 1)
}

// countingQuerier counts queries and answers none. It implements SlowdownQuerier.
type countingQuerier struct {
	queries int
}

// QuerySlowdown implements SlowdownQuerier.
func (c *countingQuerier) QuerySlowdown(string, func(float64)) {
	c.queries++
}

// TestFallbackInstanceDoesNotQuery checks that an instance queries engines while it decides for
// all instances, but not while it reaches no owner.
func TestFallbackInstanceDoesNotQuery(t *testing.T) {
	for _, row := range []struct {
		name     string
		fallback bool
		queries  int
	}{
		{"owner", false, 1},
		{"no owner reachable", true, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			now := moment
			querier := &countingQuerier{}
			s := NewScheduler(Settings{
				SlowdownQuerier: querier,
				Now:             func() time.Time { return now },
			}, logr.Discard())
			p := s.pool("engines")
			p.upsert(catalog.Endpoint{
				Instance: "e0",
				Slots:    4,
			}, &route.Service{
				Engine: &batch.Model{
					PrefillPerSecond: 100_000,
					Capacity:         1_000_000,
				},
			})
			w := s.submit(PlacementRequest{
				ID:       "a",
				Service:  "engines",
				Prompt:   10_000,
				Target:   time.Second,
				Deadline: time.Minute,
			}, row.fallback)
			is.True(len(w.granted) == 1)
			now = now.Add(300 * time.Millisecond)
			s.FirstEvent("a", "engines")
			is.Equal(querier.queries, row.queries)
		})
	}
}
