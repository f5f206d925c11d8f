// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// TestReadDelay checks the delay at several positions of the order.
func TestReadDelay(t *testing.T) {
	is := is.New(t)
	is.Equal(readDelay(0), 50*time.Millisecond)
	is.Equal(readDelay(7), 50*time.Millisecond)
	is.Equal(readDelay(15), 200*time.Millisecond)
	is.Equal(readDelay(31), 350*time.Millisecond)
	is.True(readDelay(294) < 850*time.Millisecond)
	is.True(readDelay(1199) < 1150*time.Millisecond)
}

// TestBackoffWithoutContact checks that an instance without contact to others keeps a short
// back-off, since nobody would report that the store is back.
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
	is.Equal(c.backoff(many), maxUnconfiguredBackoff) // without a configuration
	c.snapshot.Store(&Snapshot{})
	is.Equal(c.backoff(many), maxBackoff)
	c.peerAnswered.mark(time.Now())
	is.Equal(c.backoff(many), maxConnectedBackoff)
	time.Sleep(peerAnswerWindow + 10*time.Millisecond)
	is.Equal(c.backoff(many), maxBackoff)
}
