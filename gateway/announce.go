// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway

import (
	"context"
	"time"

	"github.com/linkmast/linkmast/catalog"
)

// The times of announcing the instance.
const (
	// announceTimeout bounds one call of the store.
	announceTimeout = time.Second
	// announceRetry is the pause after a call that failed.
	announceRetry = 500 * time.Millisecond
	// announceLook is how often an instance that does not know yet who is there
	// looks whether its entry lacks. One that was there before has an entry, and
	// makes no call.
	announceLook = 50 * time.Millisecond
	// announceCheck is how long an entry may take to show.
	announceCheck = 3 * time.Second
)

// announce keeps the instance's entry in the store until ctx ends.
func (g *Gateway) announce(ctx context.Context) {
	for ctx.Err() == nil {
		pause := announceCheck
		switch g.catalog.Entry() {
		case catalog.EntryUnknown:
			pause = announceLook
		case catalog.EntryLacks:
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
