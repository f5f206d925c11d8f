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
	// Counters returns the instances that count the crashes of an identity, this one among
	// them or not.
	Counters(id Identity) []string
	// Self names this instance, and Others all others.
	Self() string
	Others() []string
	// Report tells an instance of a crash.
	Report(ctx context.Context, instance string, c Crash) error
	// Tell tells an instance of a verdict.
	Tell(ctx context.Context, instance string, v Verdict) error
}

// The measures of telling others.
const (
	// tellQueue bounds what waits to be told: what comes about in some seconds of a storm of
	// crashes.
	tellQueue = 256
	// reporters is how many crashes are told of at once: one whose counter does not answer
	// takes some seconds, and doesn't hold up the next.
	reporters = 8
	// tellAtOnce bounds how many are told together, and tellTimeout each call: some
	// milliseconds between instances, and as long as a sign of life may take.
	tellAtOnce  = 32
	tellTimeout = time.Second
	// tellTries is how often one is told that does not answer, with tellPause between.
	tellTries = 3
	tellPause = 500 * time.Millisecond
	// lookForNew is how often it is looked whether instances have come.
	lookForNew = time.Second
)

// Sharing has all instances know what one of them finds out. Each identity has a few instances
// that count its crashes; these tell all others what they decide, and those that come what is
// banned. It implements Guard.
type Sharing struct {
	// Done is closed when Run has ended.
	Done chan struct{}

	book  *Book
	peers Peers
	log   logr.Logger
	// crashes and verdicts are what is to be told, each to the instances that it names.
	// Verdicts are told in order.
	crashes  chan notice
	verdicts chan notice
	// known are the instances that were told of all bans.
	known map[string]bool
}

// notice is something to be told: a crash, or a verdict.
type notice struct {
	to      []string
	crash   *Crash
	verdict Verdict
}

// NewSharing returns what shares a book. Run shares until its context ends.
func NewSharing(b *Book, p Peers, log logr.Logger) *Sharing {
	return &Sharing{
		Done:     make(chan struct{}),
		book:     b,
		peers:    p,
		log:      log,
		crashes:  make(chan notice, tellQueue),
		verdicts: make(chan notice, tellQueue),
		known:    make(map[string]bool),
	}
}

// Run tells others until ctx ends.
func (s *Sharing) Run(ctx context.Context) {
	defer close(s.Done)
	defer s.book.OnVerdict(s.decided)()
	var parts sync.WaitGroup
	for range reporters {
		parts.Go(func() { s.reportCrashes(ctx) })
	}
	parts.Go(func() { s.tellVerdicts(ctx) })
	parts.Wait()
}

// reportCrashes tells of crashes until ctx ends.
func (s *Sharing) reportCrashes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-s.crashes:
			s.do(ctx, n)
		}
	}
}

// tellVerdicts tells of verdicts, and greets instances that have come, until ctx ends.
func (s *Sharing) tellVerdicts(ctx context.Context) {
	tick := time.NewTicker(lookForNew)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-s.verdicts:
			s.do(ctx, n)
		case <-tick.C:
			s.greet(ctx)
		}
	}
}

// decided tells all others of a verdict if this instance counts for its identity. It is called
// by the book.
func (s *Sharing) decided(v Verdict) {
	if slices.Contains(s.peers.Counters(v.Identity), s.peers.Self()) {
		s.add(notice{
			to:      s.peers.Others(),
			verdict: v,
		})
	}
}

// add has something told.
func (s *Sharing) add(n notice) {
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
func (n *notice) identity() Identity {
	if n.crash != nil {
		return n.crash.Identity
	}
	return n.verdict.Identity
}

// do tells each instance that a notice names.
func (s *Sharing) do(ctx context.Context, n notice) {
	var g errgroup.Group
	g.SetLimit(tellAtOnce)
	for _, to := range n.to {
		g.Go(func() error {
			s.tell(ctx, to, n)
			return nil
		})
	}
	// The parts return no error.
	_ = g.Wait()
}

// tell tells one instance, in a few tries.
func (s *Sharing) tell(ctx context.Context, to string, n notice) {
	var err error
	for try := range tellTries {
		if try > 0 {
			sleep(ctx, tellPause)
		}
		if err = s.call(ctx, to, n); err == nil || ctx.Err() != nil {
			return
		}
	}
	s.log.Info("not told", "identity", n.identity().String(), "instance", to, "cause", err.Error())
}

// call makes one call.
func (s *Sharing) call(ctx context.Context, to string, n notice) error {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	if n.crash != nil {
		return s.peers.Report(ctx, to, *n.crash)
	}
	return s.peers.Tell(ctx, to, n.verdict)
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// greet tells instances that have come of the bans for whose identities this one counts.
func (s *Sharing) greet(ctx context.Context) {
	there := s.peers.Others()
	var come []string
	for _, id := range there {
		if !s.known[id] {
			come = append(come, id)
		}
	}
	s.known = make(map[string]bool, len(there))
	for _, id := range there {
		s.known[id] = true
	}
	if len(come) == 0 {
		return
	}
	for _, v := range s.book.Verdicts() {
		if v.State == Banned && slices.Contains(s.peers.Counters(v.Identity), s.peers.Self()) {
			s.do(ctx, notice{
				to:      come,
				verdict: v,
			})
		}
	}
}

// toCounters returns the instances that count for an identity, without this one.
func (s *Sharing) toCounters(id Identity) []string {
	return slices.DeleteFunc(s.peers.Counters(id), func(one string) bool { return one == s.peers.Self() })
}

// Enter implements Guard.
func (s *Sharing) Enter(id Identity) (Pass, time.Duration, bool) { return s.book.Enter(id) }

// Barred implements Guard.
func (s *Sharing) Barred(id Identity) (time.Duration, bool) { return s.book.Barred(id) }

// Suspected implements Guard.
func (s *Sharing) Suspected(id Identity) bool { return s.book.Suspected(id) }

// Crashed implements Guard.
func (s *Sharing) Crashed(c Crash) {
	s.book.Report(c)
	s.add(notice{
		to:    s.toCounters(c.Identity),
		crash: &c,
	})
}

// Served implements Guard.
func (s *Sharing) Served(id Identity) {
	if !s.book.Served(id) {
		return
	}
	s.add(notice{
		to: s.toCounters(id),
		verdict: Verdict{
			Identity: id,
			State:    Cleared,
		},
	})
}
