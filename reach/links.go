// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package reach

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// Parameters of the state of an instance's own paths to endpoints.
const (
	// minBroken is the number of paths, failed since the last direct connection, from which all
	// paths are assumed to be broken.
	minBroken = 2
	// probeInterval is the least time between two direct dials on a broken path.
	probeInterval = 250 * time.Millisecond
	// forgetAfter is how long a path counts as broken after its last failure.
	forgetAfter = 5 * time.Second
)

// links holds the state of the direct paths to endpoints. A path is broken if a direct dial failed,
// or took too long, while another instance connected to the same endpoint.
type links struct {
	now func() time.Time
	log logr.Logger

	mu sync.Mutex
	// broken has the broken paths by address.
	broken map[string]*brokenPath
	// connectedAt is when a direct dial last succeeded; zero before. usual is the moving average of
	// the time that successful direct dials take.
	connectedAt time.Time
	usual       time.Duration
	// since is when the first of the broken paths was found, and cut is set while all paths are
	// assumed to be broken.
	since time.Time
	cut   bool
	// probedAt is when a direct dial was last made during a cut on a path that is not known to be
	// broken.
	probedAt time.Time
}

// brokenPath is a broken path to an endpoint.
type brokenPath struct {
	failedAt time.Time
	probedAt time.Time
}

// newLinks returns the state of an instance without broken paths.
func newLinks(now func() time.Time, log logr.Logger) *links {
	return &links{
		now:    now,
		log:    log,
		broken: make(map[string]*brokenPath),
	}
}

// suspected reports whether the direct path to an address is assumed to be broken.
func (l *links) suspected(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget()
	return l.cut || l.broken[address] != nil
}

// allowDirect reports whether a direct dial should be made now. On a path that is assumed to be
// broken, it allows one each probeInterval.
func (l *links) allowDirect(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget()
	now := l.now()
	at := &l.probedAt
	if p := l.broken[address]; p != nil {
		at = &p.probedAt
	} else if !l.cut {
		return true
	}
	if now.Sub(*at) < probeInterval {
		return false
	}
	*at = now
	return true
}

// usualWeight is the weight of the latest direct dial in the average of their times.
const usualWeight = 0.1

// usualTime returns the average time of a successful direct dial; zero before the first.
func (l *links) usualTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usual
}

// connected records a successful direct dial and its time.
func (l *links) connected(address string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connectedAt.IsZero() {
		l.usual = took
	}
	l.usual += time.Duration(usualWeight * float64(took-l.usual))
	l.connectedAt = l.now()
	if l.cut {
		l.log.Info("endpoints reachable again", "after_ms", l.now().Sub(l.since).Milliseconds(), "broken", len(l.broken))
	}
	l.cut = false
	delete(l.broken, address)
}

// failed records that a direct dial failed although another instance connected to the address.
func (l *links) failed(address, via string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget()
	now := l.now()
	if len(l.broken) == 0 {
		l.since = now
	}
	p := l.broken[address]
	if p == nil {
		p = &brokenPath{
			probedAt: now,
		}
		l.broken[address] = p
		l.log.Info("path to endpoint broken", "address", address, "via", via, "broken", len(l.broken))
	}
	p.failedAt = now
	if !l.cut && l.failedSince(l.connectedAt) >= minBroken {
		l.cut = true
		l.log.Info("endpoints unreachable from this instance", "broken", len(l.broken), "via", via)
	}
}

// failedSince returns the number of broken paths that failed after a time. The caller holds l.mu.
func (l *links) failedSince(t time.Time) int {
	n := 0
	for _, p := range l.broken {
		if p.failedAt.After(t) {
			n++
		}
	}
	return n
}

// forget removes the paths that have not failed for forgetAfter. The caller holds l.mu.
func (l *links) forget() {
	now := l.now()
	for address, p := range l.broken {
		if now.Sub(p.failedAt) > forgetAfter {
			delete(l.broken, address)
		}
	}
	if l.cut && len(l.broken) == 0 {
		l.cut = false
		l.log.Info("no requests for endpoints since they became unreachable", "after_ms", now.Sub(l.since).Milliseconds())
	}
}

// state returns the number of broken paths, and whether all are assumed to be broken.
func (l *links) state() (broken int, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget()
	return len(l.broken), l.cut
}
