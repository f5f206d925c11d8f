// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/internal/upstream"
	"github.com/linkmast/linkmast/notice"
	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/quarantine"
)

// Settings are the measures of a Relay.
type Settings struct {
	// Self names the instance; it becomes part of the names of attempts.
	Self string
	// MaxAge is how old the configuration may be to say what does not exist; zero
	// means any age.
	MaxAge time.Duration
	// StrictKeys states that requests with a key are refused as well once the
	// configuration is older than that.
	StrictKeys bool
}

// Parts are what a Relay works with.
type Parts struct {
	// Snapshot returns what is known from the store; nil while nothing is.
	Snapshot func() *catalog.Snapshot
	// Age returns how old the configuration in force may be.
	Age func() (time.Duration, bool)
	// Placer finds places.
	Placer pool.Placer
	// Suspicions hears of silent streams and says which attempts are to move; nil means
	// that each is watched by itself.
	Suspicions pool.SilenceMonitor
	// Quarantine keeps requests from endpoints that crash these; nil means that none is kept.
	Quarantine quarantine.Guard
	// Check opens a connection to an endpoint that broke an answer off, to see whether it
	// has ended; needed with Quarantine.
	Check quarantine.Checker
	// Notices hears what endpoints say of themselves in answers, and keeps requests from those
	// that want none; nil means that nobody does.
	Notices notice.Guard
	// Wire reads and writes headers.
	Wire Wire
	// Memory reserves memory.
	Memory Memory
	// Upstream is the connections to endpoints.
	Upstream *upstream.Pool
	// Log gets a line for each decision.
	Log logr.Logger
}

// Relay serves callers. It is an http.Handler.
type Relay struct {
	// Metrics counts what the relay does.
	Metrics *Metrics

	settings Settings
	parts    Parts
	// counter is the number of the last attempt.
	counter  atomic.Uint64
	stopping atomic.Bool
	// inFlight counts the requests that are being served, and held those that wait
	// for a first configuration.
	inFlight      atomic.Int64
	configWaiters atomic.Int64
	// detector looks for crashes; needed with a quarantine.
	detector *quarantine.Detector
	// timeouts are the times that callers name, and began is when the relay was made.
	timeouts  timeoutTracker
	startedAt time.Time
}

// New returns a relay.
func New(s Settings, p Parts) *Relay {
	l := &Relay{
		Metrics:   newMetrics(),
		settings:  s,
		parts:     p,
		startedAt: steady.Now(),
	}
	l.detector = quarantine.NewDetector(p.Quarantine, p.Check, func() { l.Metrics.add("crashes") }, p.Log)
	return l
}

// Stop makes the relay ask callers to use another connection for their next
// request.
func (l *Relay) Stop() {
	l.stopping.Store(true)
}

// InFlight returns how many requests are being served.
func (l *Relay) InFlight() int64 {
	return l.inFlight.Load()
}

// ServeHTTP implements http.Handler.
func (l *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := steady.Now()
	l.inFlight.Add(1)
	defer l.inFlight.Add(-1)
	if l.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	head := l.parts.Wire.Head(r)
	j, refusal := l.admit(head, r, arrived)
	if refusal != nil {
		l.refuse(w, head, refusal)
		return
	}
	release, refusal := l.enterQuarantine(j)
	if refusal != nil {
		l.refuse(w, head, refusal)
		return
	}
	defer release()
	ctx, cancel := context.WithTimeout(r.Context(), j.left())
	defer cancel()
	l.serve(ctx, j, w)
}
