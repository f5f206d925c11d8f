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

// assertDrained checks which failure domains get nothing new.
func assertDrained(is *is.I, c *catalog.Catalog, want ...string) {
	is.Helper()
	got := slices.Sorted(maps.Keys(c.Snapshot().Drained))
	is.Equal(len(got), len(want))
	for i := range want {
		is.Equal(got[i], want[i])
	}
}

// TestDomainDrained follows the operator's requests about failure domains.
func TestDomainDrained(t *testing.T) {
	for _, row := range []struct {
		name    string
		written []catalog.Change
		want    []string
	}{
		{"one", []catalog.Change{drains("d1")}, []string{"d1"}},
		{"two at once", []catalog.Change{drains("d1"), drains("d2")}, []string{"d1", "d2"}},
		{"asked twice", []catalog.Change{drains("d1"), drains("d1")}, []string{"d1"}},
		{"asked twice and taken back", []catalog.Change{drains("d1"), drains("d1"), undrains("d1")}, nil},
		{"one of two taken back", []catalog.Change{drains("d1"), drains("d2"), undrains("d1")}, []string{"d2"}},
		{"taken back without having been asked", []catalog.Change{undrains("d2")}, nil},
		{"asked again", []catalog.Change{drains("d1"), undrains("d1"), drains("d1")}, []string{"d1"}},
		{"a configuration after it", []catalog.Change{drains("d1"), version(2)}, []string{"d1"}},
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

// TestUndrainCompacted lets the store forget the records of a request that was taken back
// meanwhile, and of one that stands.
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

// TestDrainDuringOutage takes a request back while the store can't be read: it stands until
// the store is back.
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

// TestUnavailable looks which endpoints get nothing new.
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
