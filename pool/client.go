// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/internal/rendezvous"
	"github.com/linkmast/linkmast/pool/poolpb"
)

// The measures of following owners.
const (
	// wantedOwners is how many instances in touch know what runs in a pool: the
	// owner, and one that can take over.
	wantedOwners = 2
	// lookEvery is how often the links are compared with what is wanted.
	lookEvery = 200 * time.Millisecond
)

// Client finds the owner of each pool and asks it. It implements Placer. The
// owner is the first instance in the order of rendezvous hashing that is in
// touch; the next one hears of everything too, so that it can take over.
type Client struct {
	self   catalog.Peer
	local  *Scheduler
	dialer Dialer
	log    logr.Logger

	mu    sync.Mutex
	known *catalog.Snapshot
	// order is the instances of each pool with engines, the owner first.
	order map[string][]string
	// chosen is the part of the order that is asked.
	chosen map[string][]string
	// links are the links by instance.
	links map[string]*linked
	// book is what this instance has running, by attempt.
	book map[string]*running
	// turn gets a value when a link breaks off or comes about.
	turn chan struct{}
	// ctx is that of Run; nil before.
	ctx   context.Context
	parts sync.WaitGroup
}

// linked is a link with what ends it.
type linked struct {
	*link
	cancel context.CancelFunc
}

// running is an attempt that has a place.
type running struct {
	ask   Ask
	grant Grant
	begun bool
}

// NewClient returns a client that places by local what it owns, and what no
// owner answers.
func NewClient(self catalog.Peer, local *Scheduler, d Dialer, log logr.Logger) *Client {
	return &Client{
		self:   self,
		local:  local,
		dialer: d,
		log:    log,
		order:  make(map[string][]string),
		chosen: make(map[string][]string),
		turn:   make(chan struct{}, 1),
		links:  make(map[string]*linked),
		book:   make(map[string]*running),
	}
}

// Run keeps the links until ctx ends.
func (c *Client) Run(ctx context.Context) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		c.mu.Lock()
		c.ctx = ctx
		c.relink()
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			c.parts.Wait()
			return
		case <-tick.C:
		case <-c.turn:
		}
	}
}

// Update takes over the instances and services that are known.
func (c *Client) Update(snap *catalog.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = snap
	clear(c.order)
	for name, svc := range snap.Table.Services {
		if svc.Engine != nil {
			c.order[name] = c.rank(name, snap)
		}
	}
	c.relink()
}

// rank returns the instances in the order in which they own a pool.
func (c *Client) rank(service string, snap *catalog.Snapshot) []string {
	list := []catalog.Peer{c.self}
	for id, p := range snap.Peers {
		if id != c.self.ID {
			list = append(list, p)
		}
	}
	rendezvous.Sort(service, list, func(p catalog.Peer) (string, int) { return p.ID, p.Capacity })
	ids := make([]string, 0, len(list))
	for _, p := range list {
		ids = append(ids, p.ID)
	}
	return ids
}

// relink opens the links that are wanted and closes the others: in the order of
// each pool, up to the instances in touch that are wanted. Those before them
// that are out of touch are tried again and again. The caller holds the lock.
func (c *Client) relink() {
	if c.ctx == nil || c.known == nil {
		return
	}
	wanted := make(map[string]string)
	for service, ids := range c.order {
		c.chosen[service] = c.choose(ids, wanted)
	}
	for id, l := range c.links {
		if wanted[id] != l.address {
			l.cancel()
			delete(c.links, id)
		}
	}
	for id, address := range wanted {
		if c.links[id] == nil {
			c.links[id] = c.openLink(id, address)
		}
	}
}

// choose returns the instances of a pool's order that are asked, and adds those
// that need a link to wanted.
func (c *Client) choose(ids []string, wanted map[string]string) []string {
	usable := 0
	for i, id := range ids {
		if usable == wantedOwners {
			return ids[:i]
		}
		if id == c.self.ID {
			usable++
			continue
		}
		wanted[id] = c.known.Peers[id].Address
		if l := c.links[id]; l != nil && l.usable() {
			usable++
		}
	}
	return ids
}

// openLink opens a link that ends with Run or when it is cancelled.
func (c *Client) openLink(id, address string) *linked {
	ctx, cancel := context.WithCancel(c.ctx)
	l := &link{
		peer:    id,
		address: address,
		self: hello{
			entry:  c.self.ID,
			domain: c.self.FailureDomain,
		},
		dialer: c.dialer,
		book:   c.running,
		turn:   c.turned,
		log:    c.log,
	}
	c.parts.Go(func() { l.run(ctx) })
	return &linked{
		link:   l,
		cancel: cancel,
	}
}

// turned makes the links be looked at anew.
func (c *Client) turned() {
	select {
	case c.turn <- struct{}{}:
	default:
	}
}

// running returns the messages that tell an owner what this instance has
// running.
func (c *Client) running() []*poolpb.FromEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*poolpb.FromEntry, 0, len(c.book))
	for _, r := range c.book {
		out = append(out, runningMessage(r))
	}
	return out
}

// owners returns the links of a pool in order; nil stands for this instance.
func (c *Client) owners(service string) []*linked {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*linked
	for _, id := range c.chosen[service] {
		if id == c.self.ID {
			out = append(out, nil)
			continue
		}
		if l := c.links[id]; l != nil {
			out = append(out, l)
		}
	}
	return out
}

// Place implements Placer.
func (c *Client) Place(ctx context.Context, a Ask) (Grant, error) {
	a.Avoid = c.local.Shunned(a.Service)
	a.Exclude = append(slices.Clone(a.Exclude), c.leaving()...)
	owners := c.owners(a.Service)
	alone := false
	for i, l := range owners {
		if l == nil {
			// Those before are out of touch; others may still ask them.
			alone = i > 0
			break
		}
		if !l.usable() {
			continue
		}
		g, err := l.ask(ctx, &a)
		if errors.Is(err, errLost) {
			continue
		}
		if err == nil {
			c.local.Adopt(a, g, false)
			c.note(a, g, l)
		}
		return g, err
	}
	g, err := c.local.place(ctx, a, alone)
	if err == nil {
		c.note(a, g, nil)
	}
	return g, err
}

// leaving returns the endpoints that must get nothing new, as this instance
// knows: the owner may be cut off from the store.
func (c *Client) leaving() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known == nil {
		return nil
	}
	return c.known.Leaving()
}

// note remembers an attempt and tells all but the one who placed it.
func (c *Client) note(a Ask, g Grant, by *linked) {
	r := &running{
		ask:   a,
		grant: g,
	}
	c.mu.Lock()
	c.book[a.ID] = r
	m := runningMessage(r)
	c.mu.Unlock()
	c.tell(a.Service, m, by)
}

// tell sends a message to the owners of a pool but one, which may be nil.
func (c *Client) tell(service string, m *poolpb.FromEntry, but *linked) {
	for _, l := range c.owners(service) {
		if l != nil && l != but {
			l.tell(m)
		}
	}
}

// First implements Placer.
func (c *Client) First(id, service string) {
	c.mu.Lock()
	if r := c.book[id]; r != nil {
		r.begun = true
	}
	c.mu.Unlock()
	c.local.First(id, service)
	c.tell(service, firstMessage(id, service), nil)
}

// End implements Placer.
func (c *Client) End(id, service string, o Outcome, culprit string) {
	c.mu.Lock()
	delete(c.book, id)
	c.mu.Unlock()
	c.local.End(id, service, o, culprit)
	c.tell(service, endMessage(id, service, o, culprit), nil)
}
