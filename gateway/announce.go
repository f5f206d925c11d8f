// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway

import (
	"context"
	"time"
)

// The times of announcing the instance.
const (
	// announceTimeout bounds one call of the store.
	announceTimeout = time.Second
	// announceRetry is the pause after a call that failed.
	announceRetry = 500 * time.Millisecond
	// announceCheck is how long an entry may take to show.
	announceCheck = 3 * time.Second
)

// announce keeps the instance's entry in the store until ctx ends.
func (g *Gateway) announce(ctx context.Context) {
	for ctx.Err() == nil {
		pause := announceCheck
		if s := g.catalog.Snapshot(); s == nil || s.Peers[g.self.ID] != g.self {
			if err := g.announceOnce(ctx); err != nil {
				g.log.V(1).Info("instance can't be announced", "cause", err.Error())
				pause = announceRetry
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// announceOnce writes the instance's entry.
func (g *Gateway) announceOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return g.catalog.Announce(ctx, g.self)
}
