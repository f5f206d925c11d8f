// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/internal/steady/steadytest"
)

// TestAgeOverSuspension checks that the age of the configuration includes the time for which
// the instance was suspended, and that only reads after it reduce the age.
func TestAgeOverSuspension(t *testing.T) {
	m := steadytest.New(t)
	run(t, func(is *is.I, _ *fakeStore, c *catalog.Catalog) {
		before, _ := c.Age()
		m.Suspend(20 * time.Second)
		age, ok := c.Age()
		is.True(ok)
		is.True(age >= before+20*time.Second)
		time.Sleep(2100 * time.Millisecond) // the current poll and the next one
		age, _ = c.Age()
		is.True(age <= 2100*time.Millisecond)
	})
}

// TestAnswerFromBeforeSuspension checks that the age counts from the request if the instance
// was suspended during a read, because the answer may date from before.
func TestAnswerFromBeforeSuspension(t *testing.T) {
	m := steadytest.New(t)
	run(t, func(is *is.I, s *fakeStore, c *catalog.Catalog) {
		s.setPageDelay(500 * time.Millisecond)
		time.Sleep(1200 * time.Millisecond)
		m.Suspend(20 * time.Second)
		s.put(catalog.Configurations, version(2)) // ends the current poll
		time.Sleep(510 * time.Millisecond)
		age, _ := c.Age()
		is.Equal(c.Snapshot().Table.Version, int64(2))
		is.True(age >= 20*time.Second)
	})
}

// TestHeldRemovalsOverSuspension checks that the time for which removals are held back after an
// outage includes a suspension of the instance.
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
