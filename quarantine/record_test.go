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

// memoryStore is a Store in memory.
type memoryStore struct {
	// writeDelay is how long writing a ban takes.
	writeDelay time.Duration

	mu          sync.Mutex
	bans        map[Identity]Verdict
	calls       int
	unavailable bool
}

// errUnavailable is the error of an unavailable store.
var errUnavailable = errors.New("store is unavailable")

// call applies a change, unless the store is unavailable.
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

// setUnavailable makes the store unavailable or available.
func (m *memoryStore) setUnavailable(unavailable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unavailable = unavailable
}

// callCount returns the number of calls so far.
func (m *memoryStore) callCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// all returns a copy of the stored bans.
func (m *memoryStore) all() map[Identity]Verdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.bans)
}

// recordingInstance is a registry with a recorder, and what it last read from the store.
type recordingInstance struct {
	registry *Registry
	lastRead map[Identity]Verdict
}

// newRecordingInstance starts a recorder that runs until the test ends.
func newRecordingInstance(t *testing.T, m *memoryStore, owner bool) *recordingInstance {
	k := &recordingInstance{
		registry: New(time.Now, Dependencies{}, logr.Discard()),
	}
	go NewRecorder(k.registry, m, func() bool { return owner }, logr.Discard()).Run(t.Context())
	return k
}

// syncStored passes the content of the store to the registry.
func (k *recordingInstance) syncStored(m *memoryStore) {
	now := m.all()
	k.registry.SyncStored(k.lastRead, now)
	k.lastRead = now
}

// crashThrice reports crashes of three endpoints by request 1.
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

// TestRecorder guards against bans that are not written, not erased or written too often when
// instances or the store fail.
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
		{"another instance waits for the owner", func(t *testing.T, m *memoryStore) {
			is := is.New(t)
			k := newRecordingInstance(t, m, false)
			k.crashThrice()
			m.bans[1] = Verdict{ // without the lock, as no other goroutine uses the store now
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
		{"the store is unavailable", func(t *testing.T, m *memoryStore) {
			is := is.New(t)
			m.setUnavailable(true)
			newRecordingInstance(t, m, true).crashThrice()
			time.Sleep(5 * time.Second)
			is.True(m.callCount() > 1 && m.callCount() < 20)
			m.setUnavailable(false)
			time.Sleep(writeRetryDelay + 10*time.Millisecond)
			is.Equal(len(m.all()), 1)
		}},
		{"an instance that starts later reads the ban", func(t *testing.T, m *memoryStore) {
			newRecordingInstance(t, m, true).crashThrice()
			time.Sleep(10 * time.Millisecond)
			late := newRecordingInstance(t, m, false)
			late.syncStored(m)
			assertBanned(t, late.registry, true)
		}},
		{"erased after the retention time", func(t *testing.T, m *memoryStore) {
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
			k.registry.ReportAnswered(request(1), time.Now())
			time.Sleep(10 * time.Millisecond)
			is.Equal(len(m.all()), 0)
		}},
		{"cleared while being written", func(t *testing.T, m *memoryStore) {
			is := is.New(t)
			k := newRecordingInstance(t, m, true)
			m.writeDelay = time.Second / 2
			k.crashThrice()
			time.Sleep(10 * time.Millisecond)
			k.registry.ReportAnswered(request(1), time.Now())
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
			is.Equal(m.callCount(), 2) // one of them is the operator's
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
