// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/internal/steady"
)

// The measures of a request that comes to an instance that knows no configuration.
const (
	// configWaitShare is the part of its caller's time that a request may wait here which
	// has no further try. The rest is for the answer.
	configWaitShare = 0.4
	// maxConfigWaiters bounds the requests that wait: some seconds of a busy instance's, each
	// with a few kilobytes.
	maxConfigWaiters = 256
	// configPollInterval is how often it is looked whether there is a configuration.
	configPollInterval = 10 * time.Millisecond
)

// awaitConfiguration returns what is known as soon as there is a configuration, with its age
// if that decides whether requests with keys are served. When there is none it returns
// at once for a caller at its first try, who does better to come back, and holds the
// request of a caller that has come back and may have no further try. When this takes
// too long for a caller that waits for the given time, or ctx ends, it returns what
// there is, which may be nil. A wait of zero means that the caller does not say. Common
// states that others have named the same time, so that this is its first try.
func (l *Relay) awaitConfiguration(ctx context.Context, wait time.Duration, firstTry bool) *catalog.Snapshot {
	if known, ok := l.usableSnapshot(); ok {
		return known
	}
	waiters := l.configWaiters.Add(1)
	defer l.configWaiters.Add(-1)
	until := steady.Now()
	if !firstTry && waiters <= maxConfigWaiters {
		until = until.Add(time.Duration(configWaitShare * float64(wait)))
	}
	for {
		known, ok := l.usableSnapshot()
		if ok || !steady.Now().Before(until) {
			return known
		}
		select {
		case <-time.After(configPollInterval):
		case <-ctx.Done():
			return known
		}
	}
}

// usableSnapshot returns what is known, and whether it is enough to decide on requests.
func (l *Relay) usableSnapshot() (*catalog.Snapshot, bool) {
	known := l.parts.Snapshot()
	_, aged := l.parts.Age()
	return known, known != nil && (aged || !l.settings.StrictKeys)
}

// tooOldForKeys returns a refusal when a request with a key, whose caller waits for the
// given time, must not be served because the key may have been taken away since. Where
// the operator does not ask for that, the newest known configuration serves on, however
// old: with the store away for 8 s and a bound of 5 s this serves the 4 s that were
// refused before.
func (l *Relay) tooOldForKeys(wait time.Duration) *refusal {
	if !l.settings.StrictKeys {
		return nil
	}
	return l.tooOld(wait)
}

// tooOld returns a refusal when the configuration in force may be an older one than
// the newest, so that what it does not know may exist.
func (l *Relay) tooOld(wait time.Duration) *refusal {
	if l.settings.MaxAge == 0 {
		return nil
	}
	age, ok := l.parts.Age()
	if ok && age < l.settings.MaxAge {
		return nil
	}
	return unavailable("configuration is too old", l.retryAfterOutage(wait))
}

// minOutage is the shortest time that an outage is taken to last on: longer than
// the start of an instance, and short enough for callers that wait for seconds. A
// caller has few retries: one that comes back into the same outage is lost. With
// 0.3 s, 166 requests were refused in the 1.4 s after the loss of all instances,
// most of them twice.
const minOutage = 1500 * time.Millisecond

// heededRetryShare is the part of the time left to them up to which callers of the platform
// wait as they are told.
const heededRetryShare = 1.0 / 3

// retryAfterOutage returns when a caller that waits for the given time may come back to an
// instance that knows too little: after as long as it has known too little so far, as
// what has lasted long is likely to last on, and up to twice that, so that not all
// return at once. All of it lies within what the caller heeds; else all that are told
// more return at the same moment, which doubled the load for seconds after an outage.
func (l *Relay) retryAfterOutage(wait time.Duration) time.Duration {
	delay, known := l.parts.Age()
	if !known {
		delay = steady.Since(l.startedAt)
	}
	delay = max(delay, minOutage)
	if wait > 0 {
		maxDelay := time.Duration(heededRetryShare * float64(wait))
		delay = min(delay, maxDelay/2)
	}
	return delay + rand.N(max(delay, 1))
}
