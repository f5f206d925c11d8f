// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/internal/steady"
)

// Handling of requests while there is no usable configuration.
const (
	// configWaitShare is the fraction of the caller's timeout for which a request may wait for
	// a configuration. The rest is left for the answer.
	configWaitShare = 0.4
	// maxConfigWaiters bounds the number of requests that wait for a configuration, and so the
	// memory that they hold.
	maxConfigWaiters = 256
	// configPollInterval is the interval between checks for a configuration.
	configPollInterval = 10 * time.Millisecond
)

// configuration is what the catalog knows at one moment.
type configuration struct {
	// snapshot is nil if there is no configuration.
	snapshot *catalog.Snapshot
	// age is an upper bound of the snapshot's age, and aged is set if it is known.
	age  time.Duration
	aged bool
}

// currentConfiguration returns the catalog's snapshot with its age. It reads the age first: a
// version that is confirmed in between then makes the snapshot newer than its age, whereas in the
// other order an old snapshot would get the age of its successor.
func (l *Relay) currentConfiguration() configuration {
	age, aged := l.parts.Age()
	return configuration{
		snapshot: l.parts.Snapshot(),
		age:      age,
		aged:     aged,
	}
}

// awaitConfiguration returns the current configuration. If it is not usable yet, the function
// waits until it is, for at most configWaitShare of the caller's timeout, because the caller may
// have no further try. It does not wait on a probable first try (firstTry), if the caller names no
// timeout, or if maxConfigWaiters requests are waiting already. If the wait ends without a usable
// configuration, it returns the current one.
func (l *Relay) awaitConfiguration(ctx context.Context, wait time.Duration, firstTry bool) configuration {
	if known := l.currentConfiguration(); l.usable(known) {
		return known
	}
	waiters := l.configWaiters.Add(1)
	defer l.configWaiters.Add(-1)
	until := steady.Now()
	if !firstTry && waiters <= maxConfigWaiters {
		until = until.Add(time.Duration(configWaitShare * float64(wait)))
	}
	for {
		known := l.currentConfiguration()
		if l.usable(known) || !steady.Now().Before(until) {
			return known
		}
		select {
		case <-time.After(configPollInterval):
		case <-ctx.Done():
			return known
		}
	}
}

// usable reports whether a configuration suffices to decide on requests. With StrictKeys it does
// so only if its age is known.
func (l *Relay) usable(c configuration) bool {
	return c.snapshot != nil && (c.aged || !l.settings.StrictKeys)
}

// tooOldForKeys returns a refusal for a request that needs a key if StrictKeys is set and the
// configuration is too old, as the key may have been revoked since. Wait is the caller's
// timeout, or what is left of it.
func (l *Relay) tooOldForKeys(c configuration, wait time.Duration) *refusal {
	if !l.settings.StrictKeys {
		return nil
	}
	return l.tooOld(c, wait)
}

// tooOld returns a refusal if MaxAge is set and the age of the configuration has reached it or
// is unknown. A newer configuration may contain what this one lacks. Wait is the caller's
// timeout.
func (l *Relay) tooOld(c configuration, wait time.Duration) *refusal {
	if l.settings.MaxAge == 0 || c.aged && c.age < l.settings.MaxAge {
		return nil
	}
	return serviceUnavailable("configuration is too old", l.retryAfterOutage(wait))
}

// minOutage is the shortest assumed remaining time of an outage. An instance starts in less
// than that. A caller that returns during the same outage wastes one of its few tries.
const minOutage = 1500 * time.Millisecond

// heededRetryShare is the fraction of its remaining time that a caller waits at most before a
// retry. Callers shorten a longer Retry-After to this.
const heededRetryShare = 1.0 / 3

// retryAfterOutage returns when a caller with the given timeout may return to an instance whose
// configuration is missing or too old. The outage is assumed to last as long again as it has
// lasted so far. Up to the same time is added at random, so that callers do not all return at
// once. The result is below heededRetryShare of the timeout, because callers shorten longer
// times to that and would then return together.
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
