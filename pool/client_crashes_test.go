// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/quarantine"
)

// TestVerdictDuringRelink guards against a deadlock: a link calls learnVerdict with its lock held, while
// relink asks the links for their state with the lock of the client held.
func TestVerdictDuringRelink(t *testing.T) {
	const part quarantine.Identity = 1
	c := NewClient(catalog.Peer{
		ID: "n0",
	}, NewScheduler(Settings{
		Self: "n0",
	}, logr.Discard()), nil, logr.Discard())
	c.ReportProgress([]quarantine.Identity{part}, time.Now())
	c.mu.Lock()
	learned := make(chan struct{})
	go func() {
		c.learnVerdict(quarantine.Verdict{
			Identity: part,
			Part:     true,
			State:    quarantine.Suspected,
			Since:    time.Now(),
		})
		close(learned)
	}()
	select {
	case <-learned:
	case <-time.After(5 * time.Second):
		t.Error("learnVerdict waits for the lock of the client")
	}
	c.mu.Unlock()
}
