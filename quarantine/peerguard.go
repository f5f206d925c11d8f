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
func (s *PeerGuard) Run(ctx context.Context) {
	defer close(s.Done)
	defer s.registry.OnVerdict(s.broadcastDecision)()
	var parts sync.WaitGroup
	for range crashSenders {
		parts.Go(func() { s.sendCrashes(ctx) })
	}
	parts.Go(func() { s.sendVerdicts(ctx) })
	parts.Wait()
}

// sendCrashes tells of crashes until ctx ends.
func (s *PeerGuard) sendCrashes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-s.crashes:
			s.sendToAll(ctx, n)
		}
	}
}

// sendVerdicts tells of verdicts, and greets instances that have come, until ctx ends.
func (s *PeerGuard) sendVerdicts(ctx context.Context) {
	tick := time.NewTicker(newInstanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-s.verdicts:
			s.sendToAll(ctx, n)
		case <-tick.C:
			s.sendBansToNew(ctx)
		}
	}
}

// broadcastDecision tells all others of a verdict if this instance counts for its identity. It is called
// by the book.
func (s *PeerGuard) broadcastDecision(v Verdict) {
	if slices.Contains(s.peers.CountingInstances(v.Identity), s.peers.Self()) {
		s.enqueue(outgoing{
			to:      s.peers.Others(),
			verdict: v,
		})
	}
}

// enqueue has something told.
func (s *PeerGuard) enqueue(n outgoing) {
	queue := s.verdicts
	if n.crash != nil {
		queue = s.crashes
	}
	select {
	case queue <- n:
	default:
		s.log.Info("not told", "identity", n.identity().String(), "cause", "too much waits to be told")
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
func (s *PeerGuard) sendToAll(ctx context.Context, n outgoing) {
	var g errgroup.Group
	g.SetLimit(maxParallelSends)
	for _, to := range n.to {
		g.Go(func() error {
			s.sendWithRetry(ctx, to, n)
			return nil
		})
	}
	// The parts return no error.
	_ = g.Wait()
}

// sendWithRetry tells one instance, in a few tries.
func (s *PeerGuard) sendWithRetry(ctx context.Context, to string, n outgoing) {
	var err error
	for try := range maxSendAttempts {
		if try > 0 {
			sleep(ctx, sendRetryDelay)
		}
		if err = s.send(ctx, to, n); err == nil || ctx.Err() != nil {
			return
		}
	}
	s.log.Info("not told", "identity", n.identity().String(), "instance", to, "cause", err.Error())
}

// send makes one send.
func (s *PeerGuard) send(ctx context.Context, to string, n outgoing) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if n.crash != nil {
		return s.peers.SendCrash(ctx, to, *n.crash)
	}
	return s.peers.SendVerdict(ctx, to, n.verdict)
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// sendBansToNew tells instances that have come of the bans for whose identities this one counts.
func (s *PeerGuard) sendBansToNew(ctx context.Context) {
	there := s.peers.Others()
	var come []string
	for _, id := range there {
		if !s.greeted[id] {
			come = append(come, id)
		}
	}
	s.greeted = make(map[string]bool, len(there))
	for _, id := range there {
		s.greeted[id] = true
	}
	if len(come) == 0 {
		return
	}
	for _, v := range s.registry.Verdicts() {
		if v.State == Banned && slices.Contains(s.peers.CountingInstances(v.Identity), s.peers.Self()) {
			s.sendToAll(ctx, outgoing{
				to:      come,
				verdict: v,
			})
		}
	}
}

// otherCountingInstances returns the instances that count for an identity, without this one.
func (s *PeerGuard) otherCountingInstances(id Identity) []string {
	return slices.DeleteFunc(s.peers.CountingInstances(id), func(one string) bool { return one == s.peers.Self() })
}

// Admit implements Guard.
func (s *PeerGuard) Admit(id Identity) (Admission, time.Duration, bool) { return s.registry.Admit(id) }

// BanRemaining implements Guard.
func (s *PeerGuard) BanRemaining(id Identity) (time.Duration, bool) {
	return s.registry.BanRemaining(id)
}

// Suspected implements Guard.
func (s *PeerGuard) Suspected(id Identity) bool { return s.registry.Suspected(id) }

// ReportCrash implements Guard.
func (s *PeerGuard) ReportCrash(c Crash) {
	s.registry.ReportCrash(c)
	s.enqueue(outgoing{
		to:    s.otherCountingInstances(c.Identity),
		crash: &c,
	})
}

// ReportAnswered implements Guard.
func (s *PeerGuard) ReportAnswered(id Identity) {
	if !s.registry.ReportAnswered(id) {
		return
	}
	s.enqueue(outgoing{
		to: s.otherCountingInstances(id),
		verdict: Verdict{
			Identity: id,
			State:    Cleared,
		},
	})
}
