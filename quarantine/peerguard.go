// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"
)

// Peers gives access to the other instances where instances have no pool sessions with each other.
type Peers interface {
	// CountingInstances returns the instances that count the crashes of an identity, which may
	// include this one.
	CountingInstances(id Identity) []string
	// Self returns the id of this instance, and Others the ids of all others.
	Self() string
	Others() []string
	// SendCrash sends a crash to an instance.
	SendCrash(ctx context.Context, instance string, c Crash) error
	// SendVerdict sends a verdict to an instance.
	SendVerdict(ctx context.Context, instance string, v Verdict) error
}

// The limits for messages to other instances.
const (
	// sendQueueSize bounds each queue of messages, for bursts of several seconds.
	sendQueueSize = 256
	// crashSenders is how many goroutines send crashes, so that an instance that doesn't answer for
	// some seconds doesn't delay the crashes behind it.
	crashSenders = 8
	// maxParallelSends bounds the instances that one message is sent to at a time, and sendTimeout
	// each call.
	maxParallelSends = 32
	sendTimeout      = time.Second
	// maxSendAttempts is the maximum number of attempts to send a message to an instance, with
	// sendRetryDelay between them.
	maxSendAttempts = 3
	sendRetryDelay  = 500 * time.Millisecond
	// newInstanceInterval is the interval of checks for new instances.
	newInstanceInterval = time.Second
)

// PeerGuard is a Guard that shares crashes and verdicts with the other instances. A few instances
// count the crashes of each identity. They send their decisions to all others, and the bans to
// instances that join.
type PeerGuard struct {
	// Done is closed when Run has ended.
	Done chan struct{}

	registry *Registry
	peers    Peers
	log      logr.Logger
	// crashes and verdicts are the queues of messages. Verdicts are sent in order.
	crashes  chan outgoing
	verdicts chan outgoing
	// lastPresent are the instances that were present at the last check for new ones.
	lastPresent map[string]bool
}

// outgoing is a queued message with its recipients: a crash if it is set, otherwise a verdict.
type outgoing struct {
	to      []string
	crash   *Crash
	verdict Verdict
}

// NewPeerGuard returns a guard over a registry. It sends messages while Run runs.
func NewPeerGuard(registry *Registry, p Peers, log logr.Logger) *PeerGuard {
	return &PeerGuard{
		Done:        make(chan struct{}),
		registry:    registry,
		peers:       p,
		log:         log,
		crashes:     make(chan outgoing, sendQueueSize),
		verdicts:    make(chan outgoing, sendQueueSize),
		lastPresent: make(map[string]bool),
	}
}

// Run sends messages to other instances until ctx ends.
func (g *PeerGuard) Run(ctx context.Context) {
	defer close(g.Done)
	defer g.registry.OnVerdict(g.broadcastDecision)()
	var wg sync.WaitGroup
	for range crashSenders {
		wg.Go(func() { g.sendCrashes(ctx) })
	}
	wg.Go(func() { g.sendVerdicts(ctx) })
	wg.Wait()
}

// sendCrashes sends queued crashes until ctx ends.
func (g *PeerGuard) sendCrashes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-g.crashes:
			g.sendToAll(ctx, m)
		}
	}
}

// sendVerdicts sends queued verdicts, and the bans to instances that join, until ctx ends.
func (g *PeerGuard) sendVerdicts(ctx context.Context) {
	tick := time.NewTicker(newInstanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-g.verdicts:
			g.sendToAll(ctx, m)
		case <-tick.C:
			g.sendBansToNew(ctx)
		}
	}
}

// broadcastDecision queues a verdict for all other instances if this instance counts the crashes of
// its identity. The registry calls it while holding its lock.
func (g *PeerGuard) broadcastDecision(v Verdict) {
	if slices.Contains(g.peers.CountingInstances(v.Identity), g.peers.Self()) {
		g.enqueue(outgoing{
			to:      g.peers.Others(),
			verdict: v,
		})
	}
}

// enqueue queues a message without blocking. It drops the message if the queue is full.
func (g *PeerGuard) enqueue(m outgoing) {
	queue := g.verdicts
	if m.crash != nil {
		queue = g.crashes
	}
	select {
	case queue <- m:
	default:
		g.log.Info("quarantine message dropped", "identity", m.identity().String(), "cause", "send queue is full")
	}
}

// identity returns the identity that the message is about.
func (m *outgoing) identity() Identity {
	if m.crash != nil {
		return m.crash.Identity
	}
	return m.verdict.Identity
}

// sendToAll sends a message to all its recipients and waits for the results.
func (g *PeerGuard) sendToAll(ctx context.Context, m outgoing) {
	var group errgroup.Group
	group.SetLimit(maxParallelSends)
	for _, to := range m.to {
		group.Go(func() error {
			g.sendWithRetry(ctx, to, m)
			return nil
		})
	}
	// The goroutines return no errors.
	_ = group.Wait()
}

// sendWithRetry sends a message to one instance, and retries a few times.
func (g *PeerGuard) sendWithRetry(ctx context.Context, to string, m outgoing) {
	var err error
	for attempt := range maxSendAttempts {
		if attempt > 0 {
			sleep(ctx, sendRetryDelay)
		}
		if err = g.send(ctx, to, m); err == nil || ctx.Err() != nil {
			return
		}
	}
	g.log.Info("quarantine message not delivered", "identity", m.identity().String(), "instance", to, "cause", err.Error())
}

// send makes one call to an instance.
func (g *PeerGuard) send(ctx context.Context, to string, m outgoing) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if m.crash != nil {
		return g.peers.SendCrash(ctx, to, *m.crash)
	}
	return g.peers.SendVerdict(ctx, to, m.verdict)
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// sendBansToNew sends the bans whose identities this instance counts to the instances that have
// joined since the last check.
func (g *PeerGuard) sendBansToNew(ctx context.Context) {
	present := g.peers.Others()
	var joined []string
	for _, id := range present {
		if !g.lastPresent[id] {
			joined = append(joined, id)
		}
	}
	g.lastPresent = make(map[string]bool, len(present))
	for _, id := range present {
		g.lastPresent[id] = true
	}
	if len(joined) == 0 {
		return
	}
	for _, v := range g.registry.Verdicts() {
		if v.State == Banned && slices.Contains(g.peers.CountingInstances(v.Identity), g.peers.Self()) {
			g.sendToAll(ctx, outgoing{
				to:      joined,
				verdict: v,
			})
		}
	}
}

// otherCountingInstances returns the instances that count the crashes of an identity, except this
// one.
func (g *PeerGuard) otherCountingInstances(id Identity) []string {
	return slices.DeleteFunc(g.peers.CountingInstances(id), func(instance string) bool { return instance == g.peers.Self() })
}

// Admit implements Guard.
func (g *PeerGuard) Admit(k Keys) (Admission, *Ban) { return g.registry.Admit(k) }

// BanOf implements Guard.
func (g *PeerGuard) BanOf(k Keys) *Ban { return g.registry.BanOf(k) }

// Suspected implements Guard.
func (g *PeerGuard) Suspected(k Keys) bool { return g.registry.Suspected(k) }

// ReportCrash implements Guard.
func (g *PeerGuard) ReportCrash(c Crash) {
	g.registry.ReportCrash(c)
	g.enqueue(outgoing{
		to:    g.otherCountingInstances(c.Identity),
		crash: &c,
	})
}

// ReportAnswered implements Guard.
func (g *PeerGuard) ReportAnswered(k Keys, startedAt time.Time) {
	g.report(g.registry.ReportAnswered(k, startedAt))
}

// ReportProgress implements Guard.
func (g *PeerGuard) ReportProgress(parts []Identity, startedAt time.Time) {
	g.report(g.registry.ReportProgress(parts, startedAt))
}

// report queues verdicts for the other instances that count the crashes of their identities.
func (g *PeerGuard) report(verdicts []Verdict) {
	for _, v := range verdicts {
		g.enqueue(outgoing{
			to:      g.otherCountingInstances(v.Identity),
			verdict: v,
		})
	}
}
