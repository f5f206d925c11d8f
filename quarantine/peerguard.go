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

// Peers are the other instances, for those that have no sessions with each other.
type Peers interface {
	// CountingInstances returns the instances that count the crashes of an identity, this one among
	// them or not.
	CountingInstances(id Identity) []string
	// Self names this instance, and Others all others.
	Self() string
	Others() []string
	// SendCrash tells an instance of a crash.
	SendCrash(ctx context.Context, instance string, c Crash) error
	// SendVerdict tells an instance of a verdict.
	SendVerdict(ctx context.Context, instance string, v Verdict) error
}

// The measures of telling others.
const (
	// sendQueueSize bounds what waits to be told: what comes about in some seconds of a storm of
	// crashes.
	sendQueueSize = 256
	// crashSenders is how many crashes are told of at once: one whose counter does not answer
	// takes some seconds, and doesn't hold up the next.
	crashSenders = 8
	// maxParallelSends bounds how many are told together, and tellTimeout each call: some
	// milliseconds between instances, and as long as a sign of life may take.
	maxParallelSends = 32
	sendTimeout      = time.Second
	// maxSendAttempts is how often one is told that does not answer, with tellPause between.
	maxSendAttempts = 3
	sendRetryDelay  = 500 * time.Millisecond
	// newInstanceInterval is how often it is looked whether instances have come.
	newInstanceInterval = time.Second
)

// PeerGuard has all instances know what one of them finds out. Each identity has a few instances
// that count its crashes; these tell all others what they decide, and those that come what is
// banned. It implements Guard.
type PeerGuard struct {
	// Done is closed when Run has ended.
	Done chan struct{}

	registry *Registry
	peers    Peers
	log      logr.Logger
	// crashes and verdicts are what is to be told, each to the instances that it names.
	// Verdicts are told in order.
	crashes  chan outgoing
	verdicts chan outgoing
	// greeted are the instances that were told of all bans.
	greeted map[string]bool
}

// outgoing is something to be told: a crash, or a verdict.
type outgoing struct {
	to      []string
	crash   *Crash
	verdict Verdict
}

// NewPeerGuard returns what shares a book. Run shares until its context ends.
func NewPeerGuard(b *Registry, p Peers, log logr.Logger) *PeerGuard {
	return &PeerGuard{
		Done:     make(chan struct{}),
		registry: b,
		peers:    p,
		log:      log,
		crashes:  make(chan outgoing, sendQueueSize),
		verdicts: make(chan outgoing, sendQueueSize),
		greeted:  make(map[string]bool),
	}
}

// Run tells others until ctx ends.
func (g *PeerGuard) Run(ctx context.Context) {
	defer close(g.Done)
	defer g.registry.OnVerdict(g.broadcastDecision)()
	var parts sync.WaitGroup
	for range crashSenders {
		parts.Go(func() { g.sendCrashes(ctx) })
	}
	parts.Go(func() { g.sendVerdicts(ctx) })
	parts.Wait()
}

// sendCrashes tells of crashes until ctx ends.
func (g *PeerGuard) sendCrashes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-g.crashes:
			g.sendToAll(ctx, n)
		}
	}
}

// sendVerdicts tells of verdicts, and greets instances that have come, until ctx ends.
func (g *PeerGuard) sendVerdicts(ctx context.Context) {
	tick := time.NewTicker(newInstanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-g.verdicts:
			g.sendToAll(ctx, n)
		case <-tick.C:
			g.sendBansToNew(ctx)
		}
	}
}

// broadcastDecision tells all others of a verdict if this instance counts for its identity. It is called
// by the book.
func (g *PeerGuard) broadcastDecision(v Verdict) {
	if slices.Contains(g.peers.CountingInstances(v.Identity), g.peers.Self()) {
		g.enqueue(outgoing{
			to:      g.peers.Others(),
			verdict: v,
		})
	}
}

// enqueue has something told.
func (g *PeerGuard) enqueue(n outgoing) {
	queue := g.verdicts
	if n.crash != nil {
		queue = g.crashes
	}
	select {
	case queue <- n:
	default:
		g.log.Info("not told", "identity", n.identity().String(), "cause", "too much waits to be told")
	}
}

// identity is that of the requests that a notice is about.
func (n *outgoing) identity() Identity {
	if n.crash != nil {
		return n.crash.Identity
	}
	return n.verdict.Identity
}

// sendToAll tells each instance that a notice names.
func (g *PeerGuard) sendToAll(ctx context.Context, n outgoing) {
	var group errgroup.Group
	group.SetLimit(maxParallelSends)
	for _, to := range n.to {
		group.Go(func() error {
			g.sendWithRetry(ctx, to, n)
			return nil
		})
	}
	// The parts return no error.
	_ = group.Wait()
}

// sendWithRetry tells one instance, in a few tries.
func (g *PeerGuard) sendWithRetry(ctx context.Context, to string, n outgoing) {
	var err error
	for try := range maxSendAttempts {
		if try > 0 {
			sleep(ctx, sendRetryDelay)
		}
		if err = g.send(ctx, to, n); err == nil || ctx.Err() != nil {
			return
		}
	}
	g.log.Info("not told", "identity", n.identity().String(), "instance", to, "cause", err.Error())
}

// send makes one send.
func (g *PeerGuard) send(ctx context.Context, to string, n outgoing) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if n.crash != nil {
		return g.peers.SendCrash(ctx, to, *n.crash)
	}
	return g.peers.SendVerdict(ctx, to, n.verdict)
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// sendBansToNew tells instances that have come of the bans for whose identities this one counts.
func (g *PeerGuard) sendBansToNew(ctx context.Context) {
	there := g.peers.Others()
	var come []string
	for _, id := range there {
		if !g.greeted[id] {
			come = append(come, id)
		}
	}
	g.greeted = make(map[string]bool, len(there))
	for _, id := range there {
		g.greeted[id] = true
	}
	if len(come) == 0 {
		return
	}
	for _, v := range g.registry.Verdicts() {
		if v.State == Banned && slices.Contains(g.peers.CountingInstances(v.Identity), g.peers.Self()) {
			g.sendToAll(ctx, outgoing{
				to:      come,
				verdict: v,
			})
		}
	}
}

// otherCountingInstances returns the instances that count for an identity, without this one.
func (g *PeerGuard) otherCountingInstances(id Identity) []string {
	return slices.DeleteFunc(g.peers.CountingInstances(id), func(one string) bool { return one == g.peers.Self() })
}

// Admit implements Guard.
func (g *PeerGuard) Admit(id Identity) (Admission, time.Duration, bool) { return g.registry.Admit(id) }

// BanRemaining implements Guard.
func (g *PeerGuard) BanRemaining(id Identity) (time.Duration, bool) {
	return g.registry.BanRemaining(id)
}

// Suspected implements Guard.
func (g *PeerGuard) Suspected(id Identity) bool { return g.registry.Suspected(id) }

// ReportCrash implements Guard.
func (g *PeerGuard) ReportCrash(c Crash) {
	g.registry.ReportCrash(c)
	g.enqueue(outgoing{
		to:    g.otherCountingInstances(c.Identity),
		crash: &c,
	})
}

// ReportAnswered implements Guard.
func (g *PeerGuard) ReportAnswered(id Identity) {
	if !g.registry.ReportAnswered(id) {
		return
	}
	g.enqueue(outgoing{
		to: g.otherCountingInstances(id),
		verdict: Verdict{
			Identity: id,
			State:    Cleared,
		},
	})
}
