// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/catalog"
)

// settled is the time after which a change is known: it exceeds the minimum time between two
// polls.
const settled = 500 * time.Millisecond

// incarnation returns an entry of endpoint e3 that started the given number of seconds after a
// fixed time.
func incarnation(second int64, leaving bool) catalog.Change {
	return &catalog.EndpointChange{
		Endpoint: catalog.Endpoint{
			Instance:  "e3",
			Leaving:   leaving,
			StartedAt: time.Unix(1_000_000_000+second, 0),
		},
	}
}

// TestIncarnations checks that late entries of an older incarnation have no effect, and that
// leaving ends with its incarnation.
func TestIncarnations(t *testing.T) {
	const first, second = 0, 10
	gone := &catalog.EndpointRemoved{
		Instance: "e3",
	}
	for _, row := range []struct {
		name     string
		entries  []catalog.Change
		known    bool
		departed bool
	}{
		{"leaving ends with the incarnation", []catalog.Change{incarnation(first, true), incarnation(second, false)}, true, false},
		{"leaving persists within an incarnation", []catalog.Change{incarnation(second, true), incarnation(second, false)}, true, true},
		{"new incarnation after removal", []catalog.Change{incarnation(first, false), gone, incarnation(second, false)}, true, false},
		{"late leaving entry of an older incarnation", []catalog.Change{incarnation(second, false), incarnation(first, true)}, true, false},
		{"late ready entry of an older incarnation", []catalog.Change{incarnation(second, true), incarnation(first, false)}, true, true},
		{"older incarnation after removal", []catalog.Change{incarnation(second, false), gone, incarnation(first, false)}, false, true},
		{"same incarnation after removal", []catalog.Change{incarnation(second, false), gone, incarnation(second, false)}, true, false},
		{"entry without a start time", []catalog.Change{incarnation(second, false), endpoint("e3", true)}, true, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
				for _, e := range row.entries {
					s.put(catalog.Endpoints, e)
					time.Sleep(settled)
				}
				_, known := c.Snapshot().Endpoints["e3"]
				is.Equal(known, row.known)
				is.Equal(c.Snapshot().HasDeparted("e3"), row.departed)
			})
		})
	}
}

// TestIncarnationsForgotten checks that an endpoint may return with an earlier start time once
// its departure is no longer remembered.
func TestIncarnationsForgotten(t *testing.T) {
	run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
		s.put(catalog.Endpoints, incarnation(10, false))
		s.put(catalog.Endpoints, &catalog.EndpointRemoved{
			Instance: "e3",
		})
		time.Sleep(3 * time.Minute)
		s.put(catalog.Endpoints, endpoint("e4", false))
		time.Sleep(settled)
		s.put(catalog.Endpoints, incarnation(0, false))
		time.Sleep(settled)
		_, known := c.Snapshot().Endpoints["e3"]
		is.True(known)
	})
}

// TestColdCounts checks that an endpoint is cold for as long as its entry says, counted from
// the arrival of the entry, and that a later entry replaces that time.
func TestColdCounts(t *testing.T) {
	cold := func(d time.Duration) catalog.Change {
		return &catalog.EndpointChange{
			Endpoint: catalog.Endpoint{
				Instance: "e1",
				ColdFor:  d,
			},
		}
	}
	run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
		is.True(c.Snapshot().Endpoints["e1"].ColdUntil.IsZero())
		s.put(catalog.Endpoints, cold(3*time.Second))
		known := time.Now()
		time.Sleep(settled)
		is.Equal(c.Snapshot().Endpoints["e1"].ColdUntil, known.Add(3*time.Second))
		s.put(catalog.Endpoints, cold(0))
		time.Sleep(settled)
		is.True(c.Snapshot().Endpoints["e1"].ColdUntil.IsZero())
		s.put(catalog.Endpoints, cold(time.Second))
		known = time.Now()
		time.Sleep(settled)
		is.Equal(c.Snapshot().Endpoints["e1"].ColdUntil, known.Add(time.Second)) // the endpoint is cold again
	})
}
