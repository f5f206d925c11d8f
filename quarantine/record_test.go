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

// memory is a store that keeps bans.
type memory struct {
	// slow is how long a ban takes to be written.
	slow time.Duration

	mu    sync.Mutex
	bans  map[Identity]Verdict
	calls int
	away  bool
}

// errAway is the error of a store that is away.
var errAway = errors.New("away")

// call makes a call, unless the store is away.
func (m *memory) call(change func()) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.away {
		return errAway
	}
	change()
	return nil
}

// RecordBan implements Store.
func (m *memory) RecordBan(_ context.Context, v Verdict) error {
	time.Sleep(m.slow)
	return m.call(func() { m.bans[v.Identity] = v })
}

// EraseBan implements Store.
func (m *memory) EraseBan(_ context.Context, id Identity) error {
	return m.call(func() { delete(m.bans, id) })
}

// setAway takes the store away, or back.
func (m *memory) setAway(away bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.away = away
}

// made returns how many calls were made.
func (m *memory) made() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// all returns what the store has.
func (m *memory) all() map[Identity]Verdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.bans)
}

// keeper is a book with what keeps its bans in a store, and what it was told of the store.
type keeper struct {
	book  *Book
	known map[Identity]Verdict
}

// newKeeper runs a recorder until the test ends.
func newKeeper(t *testing.T, m *memory, owner bool) *keeper {
	k := &keeper{
		book: New(time.Now, nil, logr.Discard()),
	}
	go NewRecorder(k.book, m, func() bool { return owner }, logr.Discard()).Run(t.Context())
	return k
}

// read tells the book what the store has.
func (k *keeper) read(m *memory) {
	now := m.all()
	k.book.Recorded(k.known, now)
	k.known = now
}

// ban has the request 1 crash three endpoints.
func (k *keeper) ban() {
	for _, attempt := range []string{"a", "b", "c"} {
		began := time.Now()
		time.Sleep(100 * time.Millisecond)
		k.book.Report(Crash{
			Attempt:  attempt + began.String(),
			Endpoint: attempt,
			Identity: 1,
			Began:    began,
			Ended:    time.Now(),
		})
	}
	time.Sleep(SettleAfter)
}

// TestRecorder keeps bans in the store, over what may go wrong with instances and the store.
func TestRecorder(t *testing.T) {
	for _, row := range []struct {
		name string
		run  func(t *testing.T, m *memory)
	}{
		{"the owner writes at once", func(t *testing.T, m *memory) {
			is := is.New(t)
			k := newKeeper(t, m, true)
			k.ban()
			time.Sleep(10 * time.Millisecond)
			is.Equal(m.all()[1].For, banFirst)
			is.Equal(m.made(), 1)
		}},
		{"another instance leaves it to the owner", func(t *testing.T, m *memory) {
			is := is.New(t)
			k := newKeeper(t, m, false)
			k.ban()
			m.bans[1] = Verdict{ // no other goroutine has the store
				Identity: 1,
				State:    Banned,
				For:      banFirst,
				Times:    1,
			}
			k.read(m)
			time.Sleep(10 * time.Second)
			is.Equal(m.made(), 0)
		}},
		{"another instance writes when the owner doesn't", func(t *testing.T, m *memory) {
			is := is.New(t)
			newKeeper(t, m, false).ban()
			time.Sleep(standbyAfter + 10*time.Millisecond)
			is.Equal(len(m.all()), 1)
		}},
		{"the store is away", func(t *testing.T, m *memory) {
			is := is.New(t)
			m.setAway(true)
			newKeeper(t, m, true).ban()
			time.Sleep(5 * time.Second)
			is.True(m.made() > 1 && m.made() < 20)
			m.setAway(false)
			time.Sleep(writeRetry + 10*time.Millisecond)
			is.Equal(len(m.all()), 1)
		}},
		{"an instance that starts later", func(t *testing.T, m *memory) {
			newKeeper(t, m, true).ban()
			time.Sleep(10 * time.Millisecond)
			late := newKeeper(t, m, false)
			late.read(m)
			assertBanned(t, late.book, true)
		}},
		{"erased when it is over and remembered no longer", func(t *testing.T, m *memory) {
			is := is.New(t)
			k := newKeeper(t, m, true)
			k.ban()
			time.Sleep(10 * time.Millisecond)
			k.read(m)
			time.Sleep(banFirst + rememberedFor - time.Second)
			is.Equal(len(m.all()), 1)
			time.Sleep(2 * time.Second)
			is.Equal(len(m.all()), 0)
		}},
		{"erased when an answer clears the request", func(t *testing.T, m *memory) {
			is := is.New(t)
			k := newKeeper(t, m, true)
			k.ban()
			time.Sleep(10 * time.Millisecond)
			k.read(m)
			k.book.Served(1)
			time.Sleep(10 * time.Millisecond)
			is.Equal(len(m.all()), 0)
		}},
		{"cleared while it is written", func(t *testing.T, m *memory) {
			is := is.New(t)
			k := newKeeper(t, m, true)
			m.slow = time.Second / 2
			k.ban()
			time.Sleep(10 * time.Millisecond)
			k.book.Served(1)
			time.Sleep(2 * time.Second)
			is.Equal(len(m.all()), 0)
		}},
		{"removed by an operator", func(t *testing.T, m *memory) {
			is := is.New(t)
			k := newKeeper(t, m, true)
			k.ban()
			time.Sleep(10 * time.Millisecond)
			k.read(m)
			is.NoErr(m.call(func() { delete(m.bans, 1) }))
			k.read(m)
			time.Sleep(10 * time.Second)
			assertBanned(t, k.book, false)
			is.Equal(len(m.all()), 0)
			is.Equal(m.made(), 2) // the operator's is one
		}},
		{"banned again", func(t *testing.T, m *memory) {
			is := is.New(t)
			k := newKeeper(t, m, true)
			k.ban()
			time.Sleep(10 * time.Millisecond)
			k.read(m)
			time.Sleep(banFirst)
			k.ban()
			time.Sleep(10 * time.Millisecond)
			is.Equal(m.all()[1].For, banFirst*banGrowth)
			is.Equal(m.all()[1].Times, 2)
			k.read(m)
			assertBanned(t, k.book, true)
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				row.run(t, &memory{
					bans: make(map[Identity]Verdict),
				})
			})
		})
	}
}
