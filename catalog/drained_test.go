// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/catalog"
)

func drains(domain string) catalog.Change {
	return &catalog.DomainDrained{
		Domain: domain,
	}
}

func undrains(domain string) catalog.Change {
	return &catalog.DomainUndrained{
		Domain: domain,
	}
}

// assertDrained checks that exactly the wanted failure domains are drained.
func assertDrained(is *is.I, c *catalog.Catalog, want ...string) {
	is.Helper()
	got := slices.Sorted(maps.Keys(c.Snapshot().Drained))
	is.Equal(len(got), len(want))
	for i := range want {
		is.Equal(got[i], want[i])
	}
}

// TestDomainDrained checks which failure domains are drained after a sequence of records.
func TestDomainDrained(t *testing.T) {
	for _, row := range []struct {
		name    string
		written []catalog.Change
		want    []string
	}{
		{"one drained", []catalog.Change{drains("d1")}, []string{"d1"}},
		{"two drained", []catalog.Change{drains("d1"), drains("d2")}, []string{"d1", "d2"}},
		{"drained twice", []catalog.Change{drains("d1"), drains("d1")}, []string{"d1"}},
		{"drained twice and undrained once", []catalog.Change{drains("d1"), drains("d1"), undrains("d1")}, nil},
		{"one of two undrained", []catalog.Change{drains("d1"), drains("d2"), undrains("d1")}, []string{"d2"}},
		{"undrained without being drained", []catalog.Change{undrains("d2")}, nil},
		{"drained again", []catalog.Change{drains("d1"), undrains("d1"), drains("d1")}, []string{"d1"}},
		{"followed by a configuration", []catalog.Change{drains("d1"), version(2)}, []string{"d1"}},
	} {
		t.Run(row.name, func(t *testing.T) {
			run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
				for _, change := range row.written {
					s.put(catalog.Configurations, change)
				}
				time.Sleep(10 * time.Millisecond)
				assertDrained(is, c, row.want...)
			})
		})
	}
}

// TestUndrainCompacted checks that the drain of a failure domain ends even if the store has
// compacted the record of its end, and that another domain stays drained.
func TestUndrainCompacted(t *testing.T) {
	run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
		s.put(catalog.Configurations, drains("d1"))
		s.put(catalog.Configurations, drains("d2"))
		time.Sleep(10 * time.Millisecond)
		assertDrained(is, c, "d1", "d2")
		s.outage(2*time.Second, func() {
			s.put(catalog.Configurations, undrains("d1"))
			s.forget(catalog.Configurations, version(3), drains("d2"))
		})
		time.Sleep(time.Second)
		assertDrained(is, c, "d2")
		is.Equal(c.Snapshot().Table.Version, int64(3))
	})
}

// TestDrainDuringOutage checks that a failure domain stays drained during an outage of the
// store, and that it is undrained afterwards.
func TestDrainDuringOutage(t *testing.T) {
	run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
		s.put(catalog.Configurations, drains("d1"))
		time.Sleep(10 * time.Millisecond)
		s.outage(5*time.Second, func() {
			assertDrained(is, c, "d1")
			s.put(catalog.Configurations, undrains("d1"))
		})
		time.Sleep(time.Second)
		assertDrained(is, c)
	})
}

// TestUnavailable checks that departed endpoints and those in drained failure domains are
// unavailable.
func TestUnavailable(t *testing.T) {
	is := is.New(t)
	s := &catalog.Snapshot{
		Endpoints: map[string]catalog.Endpoint{
			"e1": {Instance: "e1", FailureDomain: "d1"},
			"e2": {Instance: "e2", FailureDomain: "d2"},
			"e3": {Instance: "e3", FailureDomain: "d2"},
		},
		Departed: map[string]time.Time{"e3": time.Now()},
		Drained:  map[string]time.Time{"d1": time.Now()},
	}
	is.True(s.Unavailable("e1"))
	is.True(!s.Unavailable("e2"))
	is.True(s.Unavailable("e3"))
	is.True(!s.Unavailable("unknown"))
}
