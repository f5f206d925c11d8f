// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/quarantine"
)

// bans returns a change that bans the requests of an identity.
func bans(id quarantine.Identity) catalog.Change {
	return &catalog.RequestBanned{
		Verdict: quarantine.Verdict{
			Identity:  id,
			State:     quarantine.Banned,
			Remaining: time.Minute,
			BanCount:  1,
		},
	}
}

// releases returns a change that lifts the ban of an identity.
func releases(id quarantine.Identity) catalog.Change {
	return &catalog.RequestReleased{
		Identity: id,
	}
}

// TestRequestBanned checks which requests are banned after a sequence of records.
func TestRequestBanned(t *testing.T) {
	for _, row := range []struct {
		name    string
		written []catalog.Change
		want    []quarantine.Identity
	}{
		{"one ban", []catalog.Change{bans(1)}, []quarantine.Identity{1}},
		{"two bans", []catalog.Change{bans(1), bans(2)}, []quarantine.Identity{1, 2}},
		{"banned twice", []catalog.Change{bans(1), bans(1)}, []quarantine.Identity{1}},
		{"one of two released", []catalog.Change{bans(1), bans(2), releases(1), releases(3)}, []quarantine.Identity{2}},
		{"released without a ban", []catalog.Change{releases(2)}, nil},
		{"banned again", []catalog.Change{bans(1), releases(1), bans(1)}, []quarantine.Identity{1}},
	} {
		t.Run(row.name, func(t *testing.T) {
			run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
				for _, change := range row.written {
					s.put(catalog.Peers, change)
				}
				time.Sleep(200 * time.Millisecond)
				assertBanned(is, c, row.want...)
			})
		})
	}
}

// TestBanForgotten checks that a ban ends if the store has compacted the records of the ban and
// of its release during an outage.
func TestBanForgotten(t *testing.T) {
	run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
		s.put(catalog.Peers, bans(1))
		s.put(catalog.Peers, bans(2))
		time.Sleep(200 * time.Millisecond)
		assertBanned(is, c, 1, 2)
		s.outage(2*time.Second, func() {
			s.put(catalog.Peers, releases(1))
			s.forget(catalog.Peers, bans(2))
		})
		time.Sleep(time.Second)
		assertBanned(is, c, 2)
	})
}

// assertBanned checks that exactly the wanted requests are banned.
func assertBanned(is *is.I, c *catalog.Catalog, want ...quarantine.Identity) {
	is.Helper()
	got := c.Snapshot().Banned
	is.Equal(len(got), len(want))
	for _, id := range want {
		is.Equal(got[id].State, quarantine.Banned)
	}
}
