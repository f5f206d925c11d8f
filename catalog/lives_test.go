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

// lifeOf returns the entry of endpoint e3 that started so many seconds after the first
// life did.
func lifeOf(second int64, leaving bool) catalog.Change {
	return &catalog.EndpointChange{
		Endpoint: catalog.Endpoint{
			Instance: "e3",
			Leaving:  leaving,
			Born:     time.Unix(1_000_000_000+second, 0),
		},
	}
}

// TestLives writes entries of two lives of an endpoint in turn.
func TestLives(t *testing.T) {
	const first, second = 0, 10
	gone := &catalog.EndpointGone{
		Instance: "e3",
	}
	for _, row := range []struct {
		name    string
		entries []catalog.Change
		known   bool
		barred  bool
	}{
		{"leaving ends with its life", []catalog.Change{lifeOf(first, true), lifeOf(second, false)}, true, false},
		{"leaving stays in its life", []catalog.Change{lifeOf(second, true), lifeOf(second, false)}, true, true},
		{"departure ends with its life", []catalog.Change{lifeOf(first, false), gone, lifeOf(second, false)}, true, false},
		{"leaving of an older life", []catalog.Change{lifeOf(second, false), lifeOf(first, true)}, true, false},
		{"readiness of an older life", []catalog.Change{lifeOf(second, true), lifeOf(first, false)}, true, true},
		{"an older life after the end", []catalog.Change{lifeOf(second, false), gone, lifeOf(first, false)}, false, true},
		{"the same life after a lapse", []catalog.Change{lifeOf(second, false), gone, lifeOf(second, false)}, true, false},
		{"an entry that does not say", []catalog.Change{lifeOf(second, false), endpoint("e3", true)}, true, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
				for _, e := range row.entries {
					s.put(catalog.Endpoints, e)
					time.Sleep(settled)
				}
				_, known := c.Snapshot().Endpoints["e3"]
				is.Equal(known, row.known)
				is.Equal(c.Snapshot().Gone("e3"), row.barred)
			})
		})
	}
}

// TestLivesForgotten looks that an endpoint that has been gone for long may return
// whatever it says of its start.
func TestLivesForgotten(t *testing.T) {
	run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
		s.put(catalog.Endpoints, lifeOf(10, false))
		s.put(catalog.Endpoints, &catalog.EndpointGone{
			Instance: "e3",
		})
		time.Sleep(3 * time.Minute)
		s.put(catalog.Endpoints, endpoint("e4", false))
		time.Sleep(settled)
		s.put(catalog.Endpoints, lifeOf(0, false))
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
				Cold:     d,
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
