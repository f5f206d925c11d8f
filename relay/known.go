// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"context"
	"time"

	"github.com/linkmast/linkmast/catalog"
)

// The times of a request that comes to an instance that has just started.
const (
	// startWithin is how long the request waits for the first configuration:
	// instances know one within half a second when the store answers, and a caller
	// that is refused may have no further try.
	startWithin = 600 * time.Millisecond
	// startPart divides the time that a caller waits into the part that the request
	// may wait here: a refused caller needs time to come back.
	startPart = 4
	// startLook is how often it is looked whether there is a configuration.
	startLook = 10 * time.Millisecond
)

// awaitKnown returns what is known as soon as there is a configuration, with its age
// if that decides whether requests with keys are served. When this takes too long for
// a caller that waits for the given time, or ctx ends, it returns what there is,
// which may be nil. A wait of zero means that the caller does not say.
func (l *Relay) awaitKnown(ctx context.Context, wait time.Duration) *catalog.Snapshot {
	within := startWithin
	if wait > 0 {
		within = min(within, wait/startPart)
	}
	until := time.Now().Add(within)
	for {
		known := l.parts.Known()
		_, aged := l.parts.Age()
		if known != nil && (aged || !l.settings.StrictKeys) || time.Now().After(until) {
			return known
		}
		select {
		case <-time.After(startLook):
		case <-ctx.Done():
			return known
		}
	}
}

// tooOldForKeys returns a refusal when a request with a key must not be served
// because the key may have been taken away since. Where the operator does not ask
// for that, the newest known configuration serves on, however old: with the store
// away for 8 s and a bound of 5 s this serves the 4 s that were refused before.
func (l *Relay) tooOldForKeys() *refusal {
	if !l.settings.StrictKeys {
		return nil
	}
	return l.tooOld()
}

// tooOld returns a refusal when the configuration in force may be an older one than
// the newest, so that what it does not know may exist.
func (l *Relay) tooOld() *refusal {
	if l.settings.MaxAge == 0 {
		return nil
	}
	age, known := l.parts.Age()
	if known && age < l.settings.MaxAge {
		return nil
	}
	return unavailable("configuration is too old", comeBack)
}

// comeBack is when a caller may come back to an instance that knows too little:
// by then it has asked the store again, and other instances may know more.
const comeBack = 300 * time.Millisecond
