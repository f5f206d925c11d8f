// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/route"
)

func version(n int64) catalog.Change {
	return &catalog.TableChange{
		Table: route.New(n, nil, nil, nil, false, route.Limits{}),
	}
}

func endpoint(name string, leaving bool) catalog.Change {
	return &catalog.EndpointChange{
		Endpoint: catalog.Endpoint{
			Instance: name,
			Leaving:  leaving,
		},
	}
}

// run runs a test with a single catalog in virtual time.
func run(t *testing.T, f func(is *is.I, s *fakeStore, c *catalog.Catalog)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put(catalog.Configurations, version(1))
		s.put(catalog.Endpoints, endpoint("e1", false))
		s.put(catalog.Endpoints, endpoint("e2", false))
		c := catalog.New(catalog.Settings{}, s, nil, logr.Discard())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			c.Run(ctx)
			close(done)
		}()
		// A test that fails ends here too.
		defer func() {
			cancel()
			<-done
		}()
		time.Sleep(10 * time.Millisecond)
		f(is.New(t), s, c)
	})
}

// TestNewestWins checks that a configuration is replaced only by one with a higher version, also
// after the store has compacted the feed.
func TestNewestWins(t *testing.T) {
	run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
		is.Equal(c.Snapshot().Table.Version, int64(1))
		s.put(catalog.Configurations, version(7))
		s.put(catalog.Configurations, version(5)) // an older version that arrives late
		time.Sleep(10 * time.Millisecond)
		is.Equal(c.Snapshot().Table.Version, int64(7))
		s.forget(catalog.Configurations, version(6))
		time.Sleep(time.Second)
		is.Equal(c.Snapshot().Table.Version, int64(7))
	})
}

// TestAge checks that the age is at least the time since the store became unreadable, and that
// it is small while the store is readable.
func TestAge(t *testing.T) {
	run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
		for range 30 {
			time.Sleep(200 * time.Millisecond)
			age, ok := c.Age()
			is.True(ok)
			is.True(age <= 2100*time.Millisecond)
		}
		s.setDown(true)
		down := time.Now()
		time.Sleep(4 * time.Second)
		age, _ := c.Age()
		is.True(age >= time.Since(down))
		s.setDown(false)
		time.Sleep(time.Second)
		age, _ = c.Age()
		is.True(age <= 1100*time.Millisecond)
	})
}

// TestLapsedEntries checks that the removal of an entry takes effect at once in normal
// operation, but is held back if it happened during an outage of the store.
func TestLapsedEntries(t *testing.T) {
	gone := &catalog.EndpointRemoved{
		Instance: "e1",
	}
	t.Run("removed in normal operation", func(t *testing.T) {
		run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
			s.put(catalog.Endpoints, gone)
			time.Sleep(10 * time.Millisecond)
			is.Equal(len(c.Snapshot().Endpoints), 1)
			is.True(c.Snapshot().HasDeparted("e1"))
		})
	})
	t.Run("renewed after an outage", func(t *testing.T) {
		run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
			s.outage(3*time.Second, func() {
				s.put(catalog.Endpoints, gone)
			})
			time.Sleep(time.Second)
			is.Equal(len(c.Snapshot().Endpoints), 2)
			s.put(catalog.Endpoints, endpoint("e1", false))
			time.Sleep(3 * time.Second)
			is.Equal(len(c.Snapshot().Endpoints), 2)
			is.True(!c.Snapshot().HasDeparted("e1"))
		})
	})
	t.Run("not renewed after an outage", func(t *testing.T) {
		run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
			s.outage(3*time.Second, func() {
				s.put(catalog.Endpoints, gone)
			})
			time.Sleep(3 * time.Second)
			is.Equal(len(c.Snapshot().Endpoints), 1)
			is.True(c.Snapshot().HasDeparted("e1"))
		})
	})
	t.Run("removed and compacted during an outage", func(t *testing.T) {
		run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
			s.outage(time.Second, func() {
				s.put(catalog.Endpoints, gone)
				s.forget(catalog.Endpoints, endpoint("e2", false))
			})
			time.Sleep(3 * time.Second)
			is.Equal(len(c.Snapshot().Endpoints), 1)
		})
	})
}

// TestSlowAfterOutage checks that a full read after an outage succeeds even if it takes longer
// than the timeout of a poll.
func TestSlowAfterOutage(t *testing.T) {
	run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
		s.setPageDelay(time.Second)
		s.outage(time.Second, func() {
			s.put(catalog.Configurations, version(2))
			s.forget(catalog.Configurations, version(3))
		})
		time.Sleep(3 * time.Second)
		is.Equal(c.Snapshot().Table.Version, int64(3))
	})
}

// TestMissedWakeUp checks that a leaving endpoint becomes known within two seconds even if the
// store does not wake the waiting polls.
func TestMissedWakeUp(t *testing.T) {
	run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
		s.setMissWakeUps()
		s.put(catalog.Endpoints, endpoint("e1", true))
		time.Sleep(1500 * time.Millisecond)
		is.True(c.Snapshot().HasDeparted("e1"))
	})
}

// TestLeavingStays checks that a later entry without a new start time does not make a leaving
// endpoint available again.
func TestLeavingStays(t *testing.T) {
	run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
		s.put(catalog.Endpoints, endpoint("e1", true))
		s.put(catalog.Endpoints, endpoint("e1", false))
		time.Sleep(10 * time.Millisecond)
		is.True(c.Snapshot().Endpoints["e1"].Leaving)
		is.True(c.Snapshot().HasDeparted("e1"))
	})
}

// TestMalformed checks that a malformed entry removes the endpoint with its key until a valid
// one arrives, and that it changes nothing else.
func TestMalformed(t *testing.T) {
	malformed := func(key string) catalog.Change {
		return &catalog.Malformed{
			Key: key,
			Err: errDown,
		}
	}
	run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
		s.put(catalog.Endpoints, malformed("e1"))
		s.put(catalog.Endpoints, malformed("e3"))
		time.Sleep(settled)
		is.Equal(len(c.Snapshot().Endpoints), 1)
		is.True(c.Snapshot().HasDeparted("e1"))
		is.True(!c.Snapshot().HasDeparted("e2"))
		s.put(catalog.Endpoints, endpoint("e1", false))
		s.put(catalog.Endpoints, endpoint("e3", false))
		time.Sleep(settled)
		is.Equal(len(c.Snapshot().Endpoints), 3)
		is.True(!c.Snapshot().HasDeparted("e1"))
	})
	run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
		s.put(catalog.Configurations, malformed("config"))
		time.Sleep(settled)
		is.Equal(c.Snapshot().Table.Version, int64(1))
		is.Equal(len(c.Snapshot().Endpoints), 2)
	})
}
