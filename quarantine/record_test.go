// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"context"
	"errors"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// memoryStore is a store that keeps bans.
type memoryStore struct {
	// writeDelay is how long a ban takes to be written.
	writeDelay time.Duration

	mu          sync.Mutex
	bans        map[Identity]Verdict
	calls       int
	unavailable bool
}

// errUnavailable is the error of a store that is away.
var errUnavailable = errors.New("away")

// call makes a call, unless the store is away.
func (m *memoryStore) call(change func()) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.unavailable {
		return errUnavailable
	}
	change()
	return nil
}

// RecordBan implements Store.
func (m *memoryStore) RecordBan(_ context.Context, v Verdict) error {
	time.Sleep(m.writeDelay)
	return m.call(func() { m.bans[v.Identity] = v })
}

// EraseBan implements Store.
func (m *memoryStore) EraseBan(_ context.Context, id Identity) error {
	return m.call(func() { delete(m.bans, id) })
}

// setUnavailable takes the store away, or back.
func (m *memoryStore) setUnavailable(away bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unavailable = away
}

// callCount returns how many calls were callCount.
func (m *memoryStore) callCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// all returns what the store has.
func (m *memoryStore) all() map[Identity]Verdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.bans)
}

// recordingInstance is a book with what keeps its bans in a store, and what it was told of the store.
type recordingInstance struct {
	registry *Registry
	lastRead map[Identity]Verdict
}

// newRecordingInstance runs a recorder until the test ends.
func newRecordingInstance(t *testing.T, m *memoryStore, owner bool) *recordingInstance {
	k := &recordingInstance{
		registry: New(time.Now, nil, logr.Discard()),
	}
	go NewRecorder(k.registry, m, func() bool { return owner }, logr.Discard()).Run(t.Context())
	return k
}

// syncStored tells the book what the store has.
func (k *recordingInstance) syncStored(m *memoryStore) {
	now := m.all()
	k.registry.SyncStored(k.lastRead, now)
	k.lastRead = now
}

// crashThrice has the request 1 crash three endpoints.
func (k *recordingInstance) crashThrice() {
	for _, attempt := range []string{"a", "b", "c"} {
		began := time.Now()
		time.Sleep(100 * time.Millisecond)
		k.registry.ReportCrash(Crash{
			Attempt:   attempt + began.String(),
			Endpoint:  attempt,
			Identity:  1,
			StartedAt: began,
			EndedAt:   time.Now(),
		})
	}
	time.Sleep(SettleDelay)
}

// TestRecorder keeps bans in the store, over what may go wrong with instances and the store.
func TestRecorder(t *testing.T) {
	for _, row := range []struct {
		name string
		run  func(t *testing.T, m *memoryStore)
	}{
		{"the owner writes at once", func(t *testing.T, m *memoryStore) {
			is := is.New(t)
			k := newRecordingInstance(t, m, true)
			k.crashThrice()
			time.Sleep(10 * time.Millisecond)
			is.Equal(m.all()[1].Remaining, firstBanDuration)
			is.Equal(m.callCount(), 1)
		}},
		{"another instance leaves it to the owner", func(t *testing.T, m *memoryStore) {
			is := is.New(t)
			k := newRecordingInstance(t, m, false)
			k.crashThrice()
			m.bans[1] = Verdict{ // no other goroutine has the store
				Identity:  1,
				State:     Banned,
				Remaining: firstBanDuration,
				BanCount:  1,
			}
			k.syncStored(m)
			time.Sleep(10 * time.Second)
			is.Equal(m.callCount(), 0)
		}},
		{"another instance writes when the owner doesn't", func(t *testing.T, m *memoryStore) {
			is := is.New(t)
			newRecordingInstance(t, m, false).crashThrice()
			time.Sleep(standbyDelay + 10*time.Millisecond)
			is.Equal(len(m.all()), 1)
		}},
		{"the store is away", func(t *testing.T, m *memoryStore) {
			is := is.New(t)
			m.setUnavailable(true)
			newRecordingInstance(t, m, true).crashThrice()
			time.Sleep(5 * time.Second)
			is.True(m.callCount() > 1 && m.callCount() < 20)
			m.setUnavailable(false)
			time.Sleep(writeRetryDelay + 10*time.Millisecond)
			is.Equal(len(m.all()), 1)
		}},
		{"an instance that starts later", func(t *testing.T, m *memoryStore) {
			newRecordingInstance(t, m, true).crashThrice()
			time.Sleep(10 * time.Millisecond)
			late := newRecordingInstance(t, m, false)
			late.syncStored(m)
			assertBanned(t, late.registry, true)
		}},
		{"erased when it is over and remembered no longer", func(t *testing.T, m *memoryStore) {
			is := is.New(t)
			k := newRecordingInstance(t, m, true)
			k.crashThrice()
			time.Sleep(10 * time.Millisecond)
			k.syncStored(m)
			time.Sleep(firstBanDuration + minBanRetention - time.Second)
			is.Equal(len(m.all()), 1)
			time.Sleep(2 * time.Second)
			is.Equal(len(m.all()), 0)
		}},
		{"erased when an answer clears the request", func(t *testing.T, m *memoryStore) {
			is := is.New(t)
			k := newRecordingInstance(t, m, true)
			k.crashThrice()
			time.Sleep(10 * time.Millisecond)
			k.syncStored(m)
			k.registry.ReportAnswered(1)
			time.Sleep(10 * time.Millisecond)
			is.Equal(len(m.all()), 0)
		}},
		{"cleared while it is written", func(t *testing.T, m *memoryStore) {
			is := is.New(t)
			k := newRecordingInstance(t, m, true)
			m.writeDelay = time.Second / 2
			k.crashThrice()
			time.Sleep(10 * time.Millisecond)
			k.registry.ReportAnswered(1)
			time.Sleep(2 * time.Second)
			is.Equal(len(m.all()), 0)
		}},
		{"removed by an operator", func(t *testing.T, m *memoryStore) {
			is := is.New(t)
			k := newRecordingInstance(t, m, true)
			k.crashThrice()
			time.Sleep(10 * time.Millisecond)
			k.syncStored(m)
			is.NoErr(m.call(func() { delete(m.bans, 1) }))
			k.syncStored(m)
			time.Sleep(10 * time.Second)
			assertBanned(t, k.registry, false)
			is.Equal(len(m.all()), 0)
			is.Equal(m.callCount(), 2) // the operator's is one
		}},
		{"banned again", func(t *testing.T, m *memoryStore) {
			is := is.New(t)
			k := newRecordingInstance(t, m, true)
			k.crashThrice()
			time.Sleep(10 * time.Millisecond)
			k.syncStored(m)
			time.Sleep(firstBanDuration)
			k.crashThrice()
			time.Sleep(10 * time.Millisecond)
			is.Equal(m.all()[1].Remaining, firstBanDuration*banGrowthFactor)
			is.Equal(m.all()[1].BanCount, 2)
			k.syncStored(m)
			assertBanned(t, k.registry, true)
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				row.run(t, &memoryStore{
					bans: make(map[Identity]Verdict),
				})
			})
		})
	}
}
