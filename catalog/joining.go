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

// Timing of an instance that starts and does not know the other instances.
const (
	// firstStartWait is how long an instance without seeds waits, at the first start of all
	// instances, until the others have written their entries.
	firstStartWait = 700 * time.Millisecond
	// joinHold is how long a seed that has not joined yet holds the request of a joining
	// instance. joinTimeout is the timeout of that request, including the connection setup.
	joinHold    = 700 * time.Millisecond
	joinTimeout = 1200 * time.Millisecond
	// joinPause is the pause after a seed has failed to answer or has not joined yet.
	joinPause = 50 * time.Millisecond
	// seedStartWait is how long a seed waits for an earlier seed that does not answer and may
	// still be starting. seedAnswerWait is how long it waits for one that answers but has not
	// joined yet.
	seedStartWait  = 500 * time.Millisecond
	seedAnswerWait = 1500 * time.Millisecond
	// seedTimeout is how long an instance keeps asking the seeds without an answer before it
	// reads the store. A random time up to readSpread is added: if many instances get no answer,
	// the first ones that read the store introduce themselves to others, which then need not read
	// it. The spread doubles with each failure, up to maxReadSpread.
	seedTimeout   = time.Second
	readSpread    = 3 * time.Second
	maxReadSpread = 8 * time.Second
)

// join obtains a first list of other instances: from a seed, from the store or from an instance
// that introduces itself. It returns false if ctx ends before.
func (c *Catalog) join(ctx context.Context) bool {
	joining, cancel := context.WithCancel(ctx)
	defer cancel()
	_, stop := c.introduced.watch(cancel)
	defer stop()
	switch index := slices.Index(c.settings.Seeds, c.settings.Self.Address); {
	case len(c.settings.Seeds) == 0:
		c.joinWithoutSeeds(joining)
	case index >= 0:
		c.joinAsSeed(joining, index)
	default:
		c.joinThroughSeeds(joining)
	}
	return ctx.Err() == nil
}

// joinWithoutSeeds reads the list of instances from the store.
func (c *Catalog) joinWithoutSeeds(ctx context.Context) {
	if c.settings.FirstStart {
		sleep(ctx, firstStartWait)
	}
	full := &fullRead{
		feed: Peers,
	}
	for failures := 1; !c.joined.Load() && ctx.Err() == nil; failures++ {
		if err := c.joinByReading(ctx, full); err != nil {
			c.handleReadFailure(ctx, Peers, failures, err)
		}
	}
}

// joinByReading makes one attempt to read the list of instances from the store.
func (c *Catalog) joinByReading(ctx context.Context, full *fullRead) error {
	if _, err := c.readFull(ctx, full); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setJoined(steady.Now())
	return nil
}

// joinThroughSeeds asks the seeds, in an order that differs between instances to spread the
// load. It reads the store if no seed answers for a while.
func (c *Catalog) joinThroughSeeds(ctx context.Context) {
	seeds := slices.Clone(c.settings.Seeds)
	rendezvous.Sort(c.settings.Self.ID, seeds, func(address string) (string, int) { return address, 1 })
	full := &fullRead{
		feed: Peers,
	}
	spread := readSpread
	readAt := steady.Now().Add(seedTimeout + rand.N(spread))
	for next, failures := 0, 0; !c.joined.Load() && ctx.Err() == nil; {
		if err := c.askSeed(ctx, seeds[next], true); err == nil {
			readAt = steady.Now().Add(seedTimeout + rand.N(spread))
			continue
		}
		next = (next + 1) % len(seeds)
		if !steady.Now().Before(readAt) {
			failures++
			if err := c.joinByReading(ctx, full); err == nil {
				c.introduceToRelays(ctx)
				return
			} else if ctx.Err() == nil {
				c.recordReadFailure(Peers, failures, err)
			}
			spread = min(2*spread, maxReadSpread)
			readAt = steady.Now().Add(rand.N(spread))
		}
		sleep(ctx, joinPause)
	}
}

// joinAsSeed obtains the list of instances for all that ask this seed. It asks the earlier
// seeds first, so that one of the seeds reads the store for all. If none of them has the list,
// it reads the store. If that fails, it asks the later seeds.
func (c *Catalog) joinAsSeed(ctx context.Context, index int) {
	before, after := c.settings.Seeds[:index], c.settings.Seeds[index+1:]
	began := steady.Now()
	full := &fullRead{
		feed: Peers,
	}
	for failures := 0; !c.joined.Load() && ctx.Err() == nil; {
		waiting := len(before) > 0 && steady.Since(began) < seedAnswerWait
		answered := c.askSeeds(ctx, before, waiting)
		if c.joined.Load() {
			return
		}
		if waiting && (answered || steady.Since(began) < seedStartWait) {
			sleep(ctx, joinPause)
			continue
		}
		if err := c.readAsSeed(ctx, full); err != nil {
			failures++
			c.askSeeds(ctx, after, false)
			c.handleReadFailure(ctx, Peers, failures, err)
		}
	}
}

// readAsSeed reads the list of instances from the store. At the first start of all
// instances, it then waits for the joining ones, and adds those to the list.
func (c *Catalog) readAsSeed(ctx context.Context, full *fullRead) error {
	if _, err := c.readFull(ctx, full); err != nil {
		return err
	}
	if c.settings.FirstStart {
		c.pending.settle(ctx)
	}
	c.adoptPeers(c.pending.all(), 0, "joining instances", 0)
	return nil
}

// askSeeds asks seeds in turn for instances to follow, until this instance has joined. It
// returns whether any of them answered.
func (c *Catalog) askSeeds(ctx context.Context, seeds []string, wait bool) bool {
	answered := false
	for _, address := range seeds {
		if c.joined.Load() || ctx.Err() != nil {
			return answered
		}
		if err := c.askSeed(ctx, address, wait); err == nil {
			answered = true
		}
	}
	return answered
}

// askSeed asks a seed for instances to follow and accepts its answer if this instance has not
// joined yet. With wait set, a seed that has not joined yet holds the request briefly. The seed
// also writes this instance's entry to the store or forwards it.
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
		// The seed serves all starting instances, most of which don't need the connection
		// again.
		c.dialer.Disconnect(address)
	}
	return nil
}

// introductions encodes instances for a message.
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

// peersOf decodes the instances of a message.
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
