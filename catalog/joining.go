// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/linkmast/linkmast/catalog/catalogpb"
	"github.com/linkmast/linkmast/internal/rendezvous"
	"github.com/linkmast/linkmast/internal/steady"
)

// The times of an instance that starts and does not know who is there.
const (
	// firstStartWait is how long an instance that knows no contacts waits at the first
	// start of all until the others are announced; they start within 0.3 s.
	firstStartWait = 700 * time.Millisecond
	// joinHold is how long a contact that does not know yet who is there holds one that
	// asks, and joinWithin bounds that call with its way and its connection.
	joinHold    = 700 * time.Millisecond
	joinTimeout = 1200 * time.Millisecond
	// joinPause is the pause after a contact that did not answer: some round trips.
	joinPause = 50 * time.Millisecond
	// seedStartWait is how long a contact waits for one that comes before it and may not
	// have started yet, and contactTrust for one that answers but does not know yet who is
	// there.
	seedStartWait  = 500 * time.Millisecond
	seedAnswerWait = 1500 * time.Millisecond
	// seedTimeout is how long no contact answers until an instance reads the store
	// itself. Many may come to this at the same time: each waits up to readSpread more, in
	// which the first ones introduce themselves to others, and twice that after each
	// failure, up to longestReadSpread.
	seedTimeout   = time.Second
	readSpread    = 3 * time.Second
	maxReadSpread = 8 * time.Second
)

// join finds out who is there: of the contacts, from the store, or by an instance that
// introduces itself. It returns false when ctx ends before.
func (c *Catalog) join(ctx context.Context) bool {
	joining, cancel := context.WithCancel(ctx)
	defer cancel()
	_, stop := c.introduced.watch(cancel)
	defer stop()
	switch at := slices.Index(c.settings.Seeds, c.settings.Self.Address); {
	case len(c.settings.Seeds) == 0:
		c.joinWithoutSeeds(joining)
	case at >= 0:
		c.joinAsSeed(joining, at)
	default:
		c.joinThroughSeeds(joining)
	}
	return ctx.Err() == nil
}

// joinWithoutSeeds finds out from the store who is there.
func (c *Catalog) joinWithoutSeeds(ctx context.Context) {
	if c.settings.FirstStart {
		sleep(ctx, firstStartWait)
	}
	whole := &fullRead{
		feed: Peers,
	}
	for failures := 1; !c.joined.Load() && ctx.Err() == nil; failures++ {
		if err := c.joinByReading(ctx, whole); err != nil {
			c.handleReadFailure(ctx, Peers, failures, err)
		}
	}
}

// joinByReading reads from the store who is there.
func (c *Catalog) joinByReading(ctx context.Context, whole *fullRead) error {
	if _, err := c.readFull(ctx, whole); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setJoined(steady.Now())
	return nil
}

// joinThroughSeeds asks the contacts, of which one answers for all that start; each instance has
// an order of its own. It reads the store once no contact has answered for a while.
func (c *Catalog) joinThroughSeeds(ctx context.Context) {
	contacts := slices.Clone(c.settings.Seeds)
	rendezvous.Sort(c.settings.Self.ID, contacts, func(address string) (string, int) { return address, 1 })
	whole := &fullRead{
		feed: Peers,
	}
	spread := readSpread
	reads := steady.Now().Add(seedTimeout + rand.N(spread))
	for at, failures := 0, 0; !c.joined.Load() && ctx.Err() == nil; {
		if err := c.askSeed(ctx, contacts[at], true); err == nil {
			reads = steady.Now().Add(seedTimeout + rand.N(spread))
			continue
		}
		at = (at + 1) % len(contacts)
		if !steady.Now().Before(reads) {
			failures++
			if err := c.joinByReading(ctx, whole); err == nil {
				c.introduceToRelays(ctx)
				return
			} else if ctx.Err() == nil {
				c.recordReadFailure(Peers, failures, err)
			}
			spread = min(2*spread, maxReadSpread)
			reads = steady.Now().Add(rand.N(spread))
		}
		sleep(ctx, joinPause)
	}
}

// joinAsSeed finds out who is there for all that ask this instance. It asks the contacts
// that come before it, so that one of them reads the store, and reads it when none of these
// says who is there; when the store can't be read, it asks those that come after it.
func (c *Catalog) joinAsSeed(ctx context.Context, at int) {
	before, after := c.settings.Seeds[:at], c.settings.Seeds[at+1:]
	began := steady.Now()
	whole := &fullRead{
		feed: Peers,
	}
	for failures := 0; !c.joined.Load() && ctx.Err() == nil; {
		waits := len(before) > 0 && steady.Since(began) < seedAnswerWait
		answered := c.askSeeds(ctx, before, waits)
		if c.joined.Load() {
			return
		}
		if waits && (answered || steady.Since(began) < seedStartWait) {
			sleep(ctx, joinPause)
			continue
		}
		if err := c.joinAsFirstSeed(ctx, whole); err != nil {
			failures++
			c.askSeeds(ctx, after, false)
			c.handleReadFailure(ctx, Peers, failures, err)
		}
	}
}

// joinAsFirstSeed reads from the store who is there, and at the first start of all waits for the
// instances that ask this one.
func (c *Catalog) joinAsFirstSeed(ctx context.Context, whole *fullRead) error {
	if _, err := c.readFull(ctx, whole); err != nil {
		return err
	}
	if c.settings.FirstStart {
		c.pending.settle(ctx)
	}
	c.adoptPeers(c.pending.all(), 0, "those that ask", 0)
	return nil
}

// askSeeds asks contacts whom to follow, and returns whether one of them answered.
func (c *Catalog) askSeeds(ctx context.Context, contacts []string, wait bool) bool {
	answered := false
	for _, address := range contacts {
		if c.joined.Load() || ctx.Err() != nil {
			return answered
		}
		if err := c.askSeed(ctx, address, wait); err == nil {
			answered = true
		}
	}
	return answered
}

// askSeed asks a contact whom to follow, and takes that over if it is not known yet who is
// there. A contact that does not know it either holds one that waits for a moment. It sees
// to this instance's entry.
func (c *Catalog) askSeed(ctx context.Context, address string, wait bool) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	conn, err := c.dialer.Conn(address)
	if err != nil {
		return err
	}
	reply, err := catalogpb.NewCatalogClient(conn).Join(ctx, &catalogpb.JoinRequest{
		Started: introductions([]Peer{c.settings.Self}),
		Wait:    wait,
	})
	if err != nil || len(reply.GetKnown()) == 0 {
		return err
	}
	known := peersOf(reply.GetKnown())
	c.adoptPeers(known, int(reply.GetTotal()), "contact "+address, ownEntryCheckInterval)
	if !slices.ContainsFunc(known, func(p Peer) bool { return p.Address == address }) {
		// It answers all that start; most of them don't need it again.
		c.dialer.Disconnect(address)
	}
	return nil
}

// introductions returns what other instances are told of some.
func introductions(peers []Peer) []*catalogpb.Introduction {
	out := make([]*catalogpb.Introduction, 0, len(peers))
	for _, p := range peers {
		out = append(out, &catalogpb.Introduction{
			Id:            p.ID,
			Address:       p.Address,
			FailureDomain: p.FailureDomain,
			Capacity:      int64(p.Capacity),
		})
	}
	return out
}

// peersOf returns the instances that a message tells of.
func peersOf(in []*catalogpb.Introduction) []Peer {
	out := make([]Peer, 0, len(in))
	for _, m := range in {
		out = append(out, Peer{
			ID:            m.GetId(),
			Address:       m.GetAddress(),
			FailureDomain: m.GetFailureDomain(),
			Capacity:      int(m.GetCapacity()),
		})
	}
	return out
}
