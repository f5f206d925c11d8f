// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/catalog"
)

const (
	// soon is longer than a change takes to become known in virtual time.
	soon = 200 * time.Millisecond
	// settleTime is how long the content of a copy is not trusted.
	settleTime = 3 * time.Second
)

func TestPosition(t *testing.T) {
	is := is.New(t)
	for _, row := range []struct{ epoch, offset int64 }{{0, 0}, {0, 7}, {1, 0}, {3, 1 << 39}, {catalog.MaxEpoch, 1}} {
		p := catalog.Position(row.epoch, row.offset)
		is.Equal(catalog.EpochOf(p), row.epoch)
		is.Equal(catalog.OffsetOf(p), row.offset)
		is.True(p >= 0)
	}
	is.Equal(catalog.Position(0, 5), int64(5)) // without an epoch, positions are offsets
	is.True(catalog.Position(1, 0) > catalog.Position(0, 1<<39))
}

// TestVersionsAfterRestore checks that versions at offsets that are given out again come into force,
// and that the version in force never falls, with and without an outage before the restoration.
func TestVersionsAfterRestore(t *testing.T) {
	for _, away := range []time.Duration{0, 300 * time.Millisecond, 3 * time.Second} {
		t.Run(fmt.Sprint("away for ", away), func(t *testing.T) {
			run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
				for epoch := range int64(3) {
					content := s.content()
					for n := range int64(3) {
						s.put(catalog.Configurations, version(10*epoch+n+2))
						time.Sleep(soon)
					}
					in := 10*epoch + 4
					is.Equal(c.Snapshot().Table.Version, in)
					s.outage(away, func() { s.restore(content) })
					for range 20 {
						time.Sleep(50 * time.Millisecond)
						is.Equal(c.Snapshot().Table.Version, in)
					}
					s.put(catalog.Configurations, version(in+1))
					time.Sleep(soon)
					is.Equal(c.Snapshot().Table.Version, in+1)
				}
			})
		})
	}
}

// TestAgeAfterRestore checks that a store that lacks the version in force doesn't confirm it until it
// has been written again, or can't be expected any more.
func TestAgeAfterRestore(t *testing.T) {
	for _, row := range []struct {
		name string
		// rewritten is when the version is written again; zero for never. confirmed is when it is
		// confirmed.
		rewritten, confirmed time.Duration
	}{
		{"written again", 500 * time.Millisecond, 500 * time.Millisecond},
		{"not written again", 0, time.Second},
	} {
		t.Run(row.name, func(t *testing.T) {
			run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
				content := s.content()
				s.put(catalog.Configurations, version(2))
				time.Sleep(soon)
				restored := time.Now()
				s.restore(content)
				time.Sleep(row.confirmed - 50*time.Millisecond)
				age, _ := c.Age()
				is.True(age >= time.Since(restored))
				if row.rewritten > 0 {
					time.Sleep(time.Until(restored.Add(row.rewritten)))
					s.put(catalog.Configurations, version(2))
				}
				time.Sleep(1500 * time.Millisecond)
				age, _ = c.Age()
				is.True(age < 2100*time.Millisecond) // as without a restoration
				is.Equal(c.Snapshot().Table.Version, int64(2))
			})
		})
	}
}

// TestEndpointsAfterRestore checks what is known of an endpoint while the store has not settled, and
// after it has.
func TestEndpointsAfterRestore(t *testing.T) {
	gone := &catalog.EndpointRemoved{
		Instance: "e1",
	}
	reborn := &catalog.EndpointChange{
		Endpoint: catalog.Endpoint{
			Instance:  "e1",
			StartedAt: time.Unix(2, 0),
		},
	}
	born := &catalog.EndpointChange{
		Endpoint: catalog.Endpoint{
			Instance:  "e1",
			StartedAt: time.Unix(1, 0),
		},
	}
	for _, row := range []struct {
		name string
		// before is written before the copy is made, lost after it and again at once after the
		// restoration.
		before, lost, again catalog.Change
		// present and departed describe endpoint e1 while the store has not settled, settled and
		// settledDeparted after it has.
		present, departed, settled, settledDeparted bool
	}{
		{"removed, not removed again", nil, gone, nil, false, true, true, false},
		{"removed, removed again", nil, gone, gone, false, true, false, true},
		{"leaving, not announced again", nil, endpoint("e1", true), nil, true, true, true, true},
		{"leaving, announced again", nil, endpoint("e1", true), endpoint("e1", true), true, true, true, true},
		{"announced as leaving only now", nil, nil, endpoint("e1", true), true, true, true, true},
		{"removed only now", nil, nil, gone, false, true, false, true},
		{"added, not written again", gone, endpoint("e1", false), nil, true, false, false, true},
		{"added, written again", gone, endpoint("e1", false), endpoint("e1", false), true, false, true, false},
		{"restarted, not written again", born, reborn, nil, true, false, true, false},
		{"restarted only now", born, nil, reborn, true, false, true, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
				write := func(change catalog.Change) {
					if change != nil {
						s.put(catalog.Endpoints, change)
						time.Sleep(soon)
					}
				}
				check := func(present, departed bool) {
					_, known := c.Snapshot().Endpoints["e1"]
					is.Equal(known, present)
					is.Equal(c.Snapshot().HasDeparted("e1"), departed)
					_, other := c.Snapshot().Endpoints["e2"]
					is.True(other)
				}
				write(row.before)
				content := s.content()
				write(row.lost)
				s.restore(content)
				time.Sleep(soon)
				write(row.again)
				if row.again == catalog.Change(gone) {
					time.Sleep(2 * time.Second) // removals are held back
				}
				check(row.present, row.departed)
				time.Sleep(2 * settleTime)
				check(row.settled, row.settledDeparted)
			})
		})
	}
}

// TestWrittenAgainBeforeRead checks endpoints that are written again before the catalog reads the
// restored store.
func TestWrittenAgainBeforeRead(t *testing.T) {
	run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
		content := s.content()
		for range 3 {
			s.put(catalog.Endpoints, endpoint("e2", false)) // the offsets of what follows are lower
		}
		time.Sleep(soon)
		s.outage(time.Second, func() {
			s.restore(content)
			s.put(catalog.Endpoints, endpoint("e1", true))
			s.put(catalog.Endpoints, endpoint("e3", false))
			s.put(catalog.Configurations, version(5))
		})
		time.Sleep(time.Second)
		is.True(c.Snapshot().HasDeparted("e1"))
		is.Equal(len(c.Snapshot().Endpoints), 3)
		is.Equal(c.Snapshot().Table.Version, int64(5))
	})
}

// TestDrainAndBanAfterRestore checks that drains and bans that the copy lacks go on, that those
// which ended after the copy do not begin again, and that the store has the bans again.
func TestDrainAndBanAfterRestore(t *testing.T) {
	run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
		s.put(catalog.Configurations, &catalog.DomainDrained{
			Domain: "old",
		})
		s.put(catalog.Peers, bans(1))
		time.Sleep(soon)
		content := s.content()
		s.put(catalog.Configurations, &catalog.DomainDrained{
			Domain: "new",
		})
		s.put(catalog.Configurations, &catalog.DomainUndrained{
			Domain: "old",
		})
		s.put(catalog.Peers, bans(2))
		s.put(catalog.Peers, releases(1))
		time.Sleep(soon)
		s.restore(content)
		for range 10 {
			time.Sleep(soon)
			_, drained := c.Snapshot().Drained["new"]
			_, ended := c.Snapshot().Drained["old"]
			is.True(drained && !ended)
			assertBanned(is, c, 2)
		}
		time.Sleep(2 * settleTime)
		assertBanned(is, c, 2)
		page, err := s.Page(context.Background(), catalog.Peers, "")
		is.NoErr(err)
		is.Equal(len(page.Records), 1)
	})
}

// TestFleetAfterRestore checks that all instances agree after a restoration, that the entries that
// the copy lacks are written again, and that the number of calls does not grow with the instances.
func TestFleetAfterRestore(t *testing.T) {
	made := make(map[int]int)
	for _, n := range []int{fleetSize / 2, fleetSize} {
		t.Run(fmt.Sprint(n, " instances"), func(t *testing.T) {
			virtualGroup(t, n, 0, func(t *testing.T, _ *memoryNet, fake *fakeStore, all []*instance) {
				is := is.New(t)
				awaitReaders(t, all)
				content := fake.content()
				content[catalog.Peers] = content[catalog.Peers][:n/2]
				fake.put(catalog.Configurations, version(2))
				fake.put(catalog.Endpoints, endpoint("e2", false))
				assertInForce(t, all, 2)
				time.Sleep(time.Second)
				before := fake.callCount()
				fake.restore(content)
				time.Sleep(time.Second)
				fake.put(catalog.Endpoints, endpoint("e2", false))
				fake.put(catalog.Configurations, version(3))
				assertInForce(t, all, 3)
				time.Sleep(3 * settleTime)
				made[n] = fake.callCount() - before
				page, err := fake.Page(context.Background(), catalog.Peers, "")
				is.NoErr(err)
				is.Equal(len(page.Records), n)
				for _, x := range all {
					is.Equal(len(x.Snapshot().Peers), n)
					is.Equal(len(x.Snapshot().Endpoints), 2)
				}
			})
		})
	}
	t.Log("calls by number of instances:", made)
	is.New(t).True(made[fleetSize] <= made[fleetSize/2]+fleetSize/10)
}

// TestEntriesInCopyNotWrittenAgain guards against instances that write their entries again although the copy
// has them.
func TestEntriesInCopyNotWrittenAgain(t *testing.T) {
	virtualGroup(t, 20, 0, func(t *testing.T, _ *memoryNet, fake *fakeStore, all []*instance) {
		is := is.New(t)
		awaitReaders(t, all)
		content := fake.content()
		fake.restore(content)
		time.Sleep(4 * settleTime)
		is.Equal(len(fake.content()[catalog.Peers]), len(content[catalog.Peers]))
	})
}

// TestJoinAfterRestore checks that an instance that starts before the store has settled doesn't make
// others go back to the copy when they follow it.
func TestJoinAfterRestore(t *testing.T) {
	virtualGroup(t, 6, 0, func(t *testing.T, net *memoryNet, fake *fakeStore, all []*instance) {
		is := is.New(t)
		awaitReaders(t, all)
		content := fake.content()
		fake.put(catalog.Configurations, version(2))
		fake.put(catalog.Endpoints, &catalog.EndpointRemoved{
			Instance: "e1",
		})
		assertInForce(t, all, 2)
		fake.restore(content)
		self := catalog.Peer{
			ID:       "joined",
			Address:  "joined:1",
			Capacity: 4000,
		}
		joined := net.start(t, fake, self, net.listen(self.Address))
		all = append(all, joined)
		for range 10 {
			time.Sleep(soon)
			for _, x := range all {
				if x == joined && (x.Snapshot() == nil || x.Snapshot().Table.Version < 2) {
					continue
				}
				is.Equal(x.Snapshot().Table.Version, int64(2))
				if x != joined {
					is.True(x.Snapshot().HasDeparted("e1"))
				}

			}
		}
		fake.put(catalog.Endpoints, &catalog.EndpointRemoved{
			Instance: "e1",
		})
		fake.put(catalog.Configurations, version(2))
		time.Sleep(2 * settleTime)
		for _, x := range all {
			is.Equal(x.Snapshot().Table.Version, int64(2))
			is.Equal(len(x.Snapshot().Endpoints), 0)
			is.Equal(len(x.Snapshot().Peers), 7)
		}
	})
}
