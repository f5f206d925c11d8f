// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/catalog"
)

// settled is how long a change takes to be known at most: the pause between two reads.
const settled = 500 * time.Millisecond

// incarnation returns the entry of endpoint e3 that started so many seconds after the first
// life did.
func incarnation(second int64, leaving bool) catalog.Change {
	return &catalog.EndpointChange{
		Endpoint: catalog.Endpoint{
			Instance:  "e3",
			Leaving:   leaving,
			StartedAt: time.Unix(1_000_000_000+second, 0),
		},
	}
}

// TestIncarnations writes entries of two lives of an endpoint in turn.
func TestIncarnations(t *testing.T) {
	const first, second = 0, 10
	gone := &catalog.EndpointRemoved{
		Instance: "e3",
	}
	for _, row := range []struct {
		name    string
		entries []catalog.Change
		known   bool
		barred  bool
	}{
		{"leaving ends with its life", []catalog.Change{incarnation(first, true), incarnation(second, false)}, true, false},
		{"leaving stays in its life", []catalog.Change{incarnation(second, true), incarnation(second, false)}, true, true},
		{"departure ends with its life", []catalog.Change{incarnation(first, false), gone, incarnation(second, false)}, true, false},
		{"leaving of an older life", []catalog.Change{incarnation(second, false), incarnation(first, true)}, true, false},
		{"readiness of an older life", []catalog.Change{incarnation(second, true), incarnation(first, false)}, true, true},
		{"an older life after the end", []catalog.Change{incarnation(second, false), gone, incarnation(first, false)}, false, true},
		{"the same life after a lapse", []catalog.Change{incarnation(second, false), gone, incarnation(second, false)}, true, false},
		{"an entry that does not say", []catalog.Change{incarnation(second, false), endpoint("e3", true)}, true, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
				for _, e := range row.entries {
					s.put(catalog.Endpoints, e)
					time.Sleep(settled)
				}
				_, known := c.Snapshot().Endpoints["e3"]
				is.Equal(known, row.known)
				is.Equal(c.Snapshot().HasDeparted("e3"), row.barred)
			})
		})
	}
}

// TestIncarnationsForgotten looks that an endpoint that has been gone for long may return
// whatever it says of its start.
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

// TestColdCounts looks that an endpoint is cold for as long as its entry says, from when
// the entry came, and that another entry ends it or begins it anew.
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
		is.Equal(c.Snapshot().Endpoints["e1"].ColdUntil, known.Add(time.Second)) // it turned cold again
	})
}
