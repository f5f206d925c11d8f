// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/catalog"
)

// fleetSize is large enough for relays in addition to the readers, and for delays that differ
// by position.
const fleetSize = 120

// TestStartTogether checks that instances that start together with their entries in the store
// don't all read all feeds: few instances beside the readers make more than two calls. It runs
// in virtual time to be independent of the load of the test host.
func TestStartTogether(t *testing.T) {
	for _, row := range []struct {
		name string
		// read is the delay of each page.
		read time.Duration
		// more is the maximum number of instances beside the readers that make more than two
		// calls.
		more int
	}{
		{"no delay", 0, 0},
		{"store answers within the shortest read delay", 50 * time.Millisecond, 0},
		{"store answers after the shortest read delay", 100 * time.Millisecond, 8},
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

// TestOutageOfMany checks that many instances call an unreachable store rarely, and that all of
// them receive changes soon after it is back.
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
	t.Log("calls of the other instances:", asked)
	is.True(asked <= 3*fleetSize)
	fake.put(catalog.Configurations, version(2))
	fake.setDown(false)
	back := time.Now()
	for i, x := range all {
		await(t, "version 2", func() bool { return x.Snapshot().Table.Version == 2 })
		if i == fleetSize*9/10 {
			t.Log("90% of the instances up to date after", time.Since(back))
		}
	}
	is.True(time.Since(back) < 1500*time.Millisecond)
}

// TestStartInOutage checks that an instance that restarts during an outage of the store
// receives the other instances, the data and its age from others. It runs in virtual time,
// because the data and its age arrive in two messages and a slow host might check in
// between.
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
		is.True(x.store.calls.Load() <= 20) // without an introduction it would make about 25 calls a second
	})
}

// startTimeout is the time within which an instance that starts during an outage must have the
// data of the others.
const startTimeout = 2 * time.Second
