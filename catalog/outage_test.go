// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// TestReadDelay holds the delays of reading against worked examples.
func TestReadDelay(t *testing.T) {
	is := is.New(t)
	is.Equal(readDelay(0), 50*time.Millisecond)
	is.Equal(readDelay(7), 50*time.Millisecond)
	is.Equal(readDelay(15), 200*time.Millisecond)
	is.Equal(readDelay(31), 350*time.Millisecond)
	is.True(readDelay(294) < 850*time.Millisecond)
	is.True(readDelay(1199) < 1150*time.Millisecond)
}

// TestBackoffWithoutContact looks that an instance that hears from no other one goes on
// asking the store often, as nobody would tell it that the store is back. Marks count
// from the start of the process, so it runs in real time.
func TestBackoffWithoutContact(t *testing.T) {
	is := is.New(t)
	c := New(Settings{
		Self: Peer{
			ID:       "weak",
			Capacity: 1,
		},
	}, nil, nil, logr.Discard())
	for _, id := range []string{"n0", "n1", "n2"} {
		c.peers.set(id, Peer{
			ID:       id,
			Capacity: 400,
		})
	}
	c.updateTopology()
	const many = 20
	is.Equal(c.backoff(many), maxUnconfiguredBackoff) // it can serve nobody
	c.snapshot.Store(&Snapshot{})
	is.Equal(c.backoff(many), maxBackoff)
	c.peerAnswered.mark(time.Now())
	is.Equal(c.backoff(many), maxConnectedBackoff)
	time.Sleep(peerAnswerWindow + 10*time.Millisecond)
	is.Equal(c.backoff(many), maxBackoff)
}
