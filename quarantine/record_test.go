// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"context"
	"errors"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// memory is a store that keeps bans.
type memory struct {
	bans  map[Identity]Verdict
	calls int
	away  bool
	// slow is how long a ban takes to be written.
	slow time.Duration
}

// errAway is the error of a store that is away.
var errAway = errors.New("away")

// RecordBan implements Store.
func (m *memory) RecordBan(_ context.Context, v Verdict) error {
	m.calls++
	if m.away {
		return errAway
	}
	time.Sleep(m.slow)
	m.bans[v.Identity] = v
	return nil
}

// EraseBan implements Store.
func (m *memory) EraseBan(_ context.Context, id Identity) error {
	m.calls++
	if m.away {
		return errAway
	}
	delete(m.bans, id)
	return nil
}

// keeper is a book with what keeps its bans in a store, and what it was told of the store.
type keeper struct {
	book  *Book
	known map[Identity]Verdict
}

// newKeeper runs a recorder until the test ends.
func newKeeper(t *testing.T, m *memory, owner bool) *keeper {
	k := &keeper{
		book: New(time.Now, logr.Discard()),
	}
	go NewRecorder(k.book, m, func() bool { return owner }, logr.Discard()).Run(t.Context())
	return k
}

// read tells the book what the store has.
func (k *keeper) read(m *memory) {
	now := maps.Clone(m.bans)
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
			is.Equal(m.bans[1].For, banFirst)
			is.Equal(m.calls, 1)
		}},
		{"another instance leaves it to the owner", func(t *testing.T, m *memory) {
			is := is.New(t)
			k := newKeeper(t, m, false)
			k.ban()
			m.bans[1] = Verdict{
				Identity: 1,
				State:    Banned,
				For:      banFirst,
				Times:    1,
			}
			k.read(m)
			time.Sleep(10 * time.Second)
			is.Equal(m.calls, 0)
		}},
		{"another instance writes when the owner doesn't", func(t *testing.T, m *memory) {
			is := is.New(t)
			newKeeper(t, m, false).ban()
			time.Sleep(standbyAfter + 10*time.Millisecond)
			is.Equal(len(m.bans), 1)
		}},
		{"the store is away", func(t *testing.T, m *memory) {
			is := is.New(t)
			m.away = true
			newKeeper(t, m, true).ban()
			time.Sleep(5 * time.Second)
			is.True(m.calls > 1 && m.calls < 20)
			m.away = false
			time.Sleep(writeRetry + 10*time.Millisecond)
			is.Equal(len(m.bans), 1)
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
			time.Sleep(banFirst + time.Second)
			is.Equal(len(m.bans), 1)
			time.Sleep(banFirst)
			is.Equal(len(m.bans), 0)
		}},
		{"erased when an answer clears the request", func(t *testing.T, m *memory) {
			is := is.New(t)
			k := newKeeper(t, m, true)
			k.ban()
			time.Sleep(10 * time.Millisecond)
			k.read(m)
			k.book.Served(1)
			time.Sleep(10 * time.Millisecond)
			is.Equal(len(m.bans), 0)
		}},
		{"cleared while it is written", func(t *testing.T, m *memory) {
			is := is.New(t)
			k := newKeeper(t, m, true)
			m.slow = time.Second / 2
			k.ban()
			time.Sleep(10 * time.Millisecond)
			k.book.Served(1)
			time.Sleep(2 * time.Second)
			is.Equal(len(m.bans), 0)
		}},
		{"removed by an operator", func(t *testing.T, m *memory) {
			is := is.New(t)
			k := newKeeper(t, m, true)
			k.ban()
			time.Sleep(10 * time.Millisecond)
			k.read(m)
			delete(m.bans, 1)
			k.read(m)
			time.Sleep(10 * time.Second)
			assertBanned(t, k.book, false)
			is.Equal(len(m.bans), 0)
			is.Equal(m.calls, 1)
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
			is.Equal(m.bans[1].For, banFirst*banGrowth)
			is.Equal(m.bans[1].Times, 2)
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
