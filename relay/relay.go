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

// Settings configures a Relay.
type Settings struct {
	// Self is the id of this instance. It becomes part of the ids of attempts.
	Self string
	// MaxAge is the age from which the configuration no longer proves that a route or key does
	// not exist. The relay then answers 503 instead of 404 or 401. Zero means no limit.
	MaxAge time.Duration
	// StrictKeys makes the relay answer 503 to every request that needs a key while the age of
	// the configuration has reached MaxAge or is unknown, as the key may have been revoked
	// since.
	StrictKeys bool
	// BodyBytes bounds the memory for the bodies of all requests. A request whose body finds no room
	// gets 503. Zero means no limit.
	BodyBytes int64
}

// Parts holds the dependencies of a Relay.
type Parts struct {
	// Snapshot returns the current state of the catalog, or nil while there is no
	// configuration.
	Snapshot func() *catalog.Snapshot
	// Age returns an upper bound on the age of the configuration in force. It returns false
	// until the store has confirmed a configuration, directly or through other instances.
	Age func() (time.Duration, bool)
	// Placer assigns requests to endpoints.
	Placer pool.Placer
	// Suspicions receives reports of silent streams and calls back when an attempt has to
	// migrate. If it is nil, silences are not reported, and no attempt is ordered to migrate.
	Suspicions pool.SilenceMonitor
	// Quarantine bans requests that crash endpoints. Nil disables it.
	Quarantine quarantine.Guard
	// Check opens a connection to an endpoint whose attempt failed, to find out whether it has
	// ended. It is required with Quarantine.
	Check quarantine.Checker
	// Notices records the notices that endpoints put into their answers and returns which
	// endpoints take no requests for now. Nil disables it.
	Notices notice.Guard
	// Wire reads and writes the platform's headers.
	Wire Wire
	// Memory reserves engine memory for joint prefills.
	Memory Memory
	// Upstream holds the connections to endpoints.
	Upstream *upstream.Pool
	// VerifyPath checks the path to an endpoint in the background, because an answer is overdue.
	// Nil disables it.
	VerifyPath func(address string)
	// Log receives one line per decision.
	Log logr.Logger
}

// Relay forwards callers' requests to endpoints. It is an http.Handler.
type Relay struct {
	// Metrics holds the relay's counters and histograms.
	Metrics *Metrics

	settings Settings
	parts    Parts
	// counter counts the placement requests, for their ids.
	counter  atomic.Uint64
	stopping atomic.Bool
	// sendingEnded is done, by endSending, once some requests are not sent any more, and cutAt, which is
	// valid from then on, is when the instance cuts off its answers.
	sendingEnded context.Context
	endSending   context.CancelFunc
	cutAt        time.Time
	// inFlight counts the requests that are being served, and configWaiters those that wait for
	// a usable configuration.
	inFlight      atomic.Int64
	configWaiters atomic.Int64
	// bodies is the memory for the bodies of requests.
	bodies bodyMemory
	// largeAnswers holds the routes on which an answer that is too large to buffer was complete.
	largeAnswers nameSet
	// detector finds out whether a failed attempt crashed its endpoint. It is used only with a
	// quarantine.
	detector *quarantine.Detector
	// timeouts tracks the timeouts that callers send, and startedAt is when the relay was
	// created.
	timeouts  timeoutTracker
	startedAt time.Time
}

// New returns a Relay that is ready to serve.
func New(s Settings, p Parts) *Relay {
	l := &Relay{
		Metrics:   newMetrics(),
		settings:  s,
		parts:     p,
		startedAt: steady.Now(),
	}
	l.sendingEnded, l.endSending = context.WithCancel(context.Background())
	l.bodies.limit = s.BodyBytes
	l.detector = quarantine.NewDetector(p.Quarantine, p.Check, func() { l.Metrics.add("crashes") }, p.Log)
	return l
}

// InFlight returns the number of requests that are being served.
func (l *Relay) InFlight() int64 {
	return l.inFlight.Load()
}

// BodyBytes returns the memory that the bodies of requests take, in bytes.
func (l *Relay) BodyBytes() int64 {
	return l.bodies.held.Load()
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
	j, refusal := l.admit(w, head, r, arrived)
	if refusal != nil {
		l.refuse(w, head, refusal)
		return
	}
	defer j.releaseBody(&l.bodies)
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
