// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/catalog"
)

// fleetSize is how many instances the tests of many start: enough for carriers beside
// the readers, and for delays in a line to show.
const fleetSize = 120

// TestStartTogether starts many instances at one moment. All are ready soon, and call the
// store for who is there only; but for the readers, and the few that are next in line when the
// readers need longer than the shortest delay of a line. It runs in virtual time, so that a
// busy machine delays nobody.
func TestStartTogether(t *testing.T) {
	for _, row := range []struct {
		name string
		// read is how long the store takes for a whole read.
		read time.Duration
		// more is how many read it beside the readers; 116 of 120 did without delays.
		more int
	}{
		{"the store answers at once", 0, 0},
		{"within the shortest delay", 50 * time.Millisecond, 0},
		{"after twice that", 100 * time.Millisecond, 8},
	} {
		t.Run(row.name, func(t *testing.T) {
			virtualGroup(t, fleetSize, row.read, func(t *testing.T, _ *memoryNet, fake *fakeStore, all []*instance) {
				is := is.New(t)
				reading := awaitReaders(t, all)
				more := 0
				for _, x := range all {
					if !slices.Contains(reading, x) && x.store.calls.Load() > 2 {
						more++
					}
				}
				is.True(more <= row.more)
				fake.put(catalog.Configurations, version(2))
				assertInForce(t, all, 2)
			})
		})
	}
}

// TestOutageOfMany takes the store away from many instances. They seldom ask it, and
// all know soon after its return what has changed.
func TestOutageOfMany(t *testing.T) {
	is := is.New(t)
	fake, all := group(t, fleetSize)
	reading := awaitReaders(t, all)
	before := calls(all)
	fake.setDown(true)
	const outage = 3 * time.Second
	time.Sleep(outage)
	asked := int64(0)
	for i, x := range all {
		if !slices.Contains(reading, x) {
			asked += x.store.calls.Load() - before[i]
		}
	}
	t.Log("calls of all but the readers:", asked)
	is.True(asked <= 3*fleetSize)
	fake.put(catalog.Configurations, version(2))
	fake.setDown(false)
	back := time.Now()
	for i, x := range all {
		await(t, "version 2", func() bool { return x.Snapshot().Table.Version == 2 })
		if i == fleetSize*9/10 {
			t.Log("nine in ten know after", time.Since(back))
		}
	}
	is.True(time.Since(back) < 1500*time.Millisecond)
}

// TestStartInOutage starts an instance anew that can't reach the store. Others tell it
// who is there and what they know, and how old that is. It runs in virtual time: what is known
// and its age come in two messages, between which a busy machine may look.
func TestStartInOutage(t *testing.T) {
	virtualGroup(t, 6, 0, func(t *testing.T, net *memoryNet, fake *fakeStore, all []*instance) {
		is := is.New(t)
		awaitReaders(t, all)
		fake.setDown(true)
		const before = 500 * time.Millisecond
		time.Sleep(before)
		all[5].stop()
		began := time.Now()
		x := net.start(t, fake, all[5].self, net.listen(all[5].self.Address))
		await(t, "snapshot", func() bool { return x.Snapshot() != nil })
		is.True(time.Since(began) <= startTimeout)
		is.Equal(x.Snapshot().Table.Version, int64(1))
		age, known := x.Age()
		is.True(known)
		is.True(age >= before)
		is.True(x.store.calls.Load() <= 20) // some 25 for each second without an introduction
	})
}

// startTimeout is how soon an instance knows what others do that starts while the store is
// away; it took 1.7 s in six runs, in virtual time as in real time.
const startTimeout = 2 * time.Second
