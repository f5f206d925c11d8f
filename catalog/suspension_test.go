// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/internal/steady/steadytest"
)

// TestAgeOverSuspension suspends the machine: the age of the configuration counts that time at
// once, and what was read before doesn't confirm it. What is read after does.
func TestAgeOverSuspension(t *testing.T) {
	m := steadytest.New(t)
	run(t, func(is *is.I, _ *fakeStore, c *catalog.Catalog) {
		before, _ := c.Age()
		m.Suspend(20 * time.Second)
		age, ok := c.Age()
		is.True(ok)
		is.True(age >= before+20*time.Second)
		time.Sleep(2100 * time.Millisecond) // the poll that was under way, and the next
		age, _ = c.Age()
		is.True(age <= 2100*time.Millisecond)
	})
}

// TestAnswerFromBeforeSuspension has the machine suspended while a read is under way: its answer
// may be from before, and counts from when it was asked for.
func TestAnswerFromBeforeSuspension(t *testing.T) {
	m := steadytest.New(t)
	run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
		s.setPageDelay(500 * time.Millisecond)
		time.Sleep(1200 * time.Millisecond)
		m.Suspend(20 * time.Second)
		s.put(catalog.Configurations, version(2)) // ends the poll that is under way
		time.Sleep(510 * time.Millisecond)
		age, _ := c.Age()
		is.Equal(c.Snapshot().Table.Version, int64(2))
		is.True(age >= 20*time.Second)
	})
}

// TestHeldRemovalsOverSuspension suspends the machine between an outage of the store and the moment up to
// which entries that lapsed in it are kept.
func TestHeldRemovalsOverSuspension(t *testing.T) {
	m := steadytest.New(t)
	run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
		s.outage(3*time.Second, func() {
			s.put(catalog.Endpoints, &catalog.EndpointRemoved{
				Instance: "e1",
			})
		})
		time.Sleep(time.Second)
		_, kept := c.Snapshot().Endpoints["e1"]
		is.True(kept)
		m.Suspend(20 * time.Second)
		time.Sleep(200 * time.Millisecond)
		_, kept = c.Snapshot().Endpoints["e1"]
		is.True(!kept)
	})
}
