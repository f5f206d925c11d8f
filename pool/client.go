// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"context"
	"math"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/pool/poolpb"
)

// standbys is how many instances besides the first know what runs in a pool.
const standbys = 1

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
	links map[string]*linked
	book  map[string]*running
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
		links:  make(map[string]*linked),
		book:   make(map[string]*running),
	}
}

// Run keeps the links until ctx ends.
func (c *Client) Run(ctx context.Context) {
	c.mu.Lock()
	c.ctx = ctx
	c.relink()
	c.mu.Unlock()
	<-ctx.Done()
	c.parts.Wait()
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
	type scored struct {
		id    string
		score float64
	}
	list := []scored{{
		id:    c.self.ID,
		score: score(service, c.self),
	}}
	for id, p := range snap.Peers {
		if id != c.self.ID {
			list = append(list, scored{
				id:    id,
				score: score(service, p),
			})
		}
	}
	slices.SortFunc(list, func(a, b scored) int { return compareFloat(b.score, a.score) })
	ids := make([]string, 0, standbys+1)
	for _, s := range list[:min(len(list), standbys+1)] {
		ids = append(ids, s.id)
	}
	return ids
}

// score is weighted rendezvous hashing: the highest score of a pool owns it, and
// instances own pools in proportion to their weights.
func score(service string, p catalog.Peer) float64 {
	const mantissa = 1 << 53
	h := xxhash.Sum64String(service + "\x00" + p.ID)
	unit := (float64(h>>11) + 0.5) / mantissa
	weight := float64(max(p.Capacity, 1))
	return -weight * weight / math.Log(unit)
}

// relink opens the links that are wanted and closes the others. The caller
// holds the lock.
func (c *Client) relink() {
	if c.ctx == nil || c.known == nil {
		return
	}
	wanted := make(map[string]string)
	for _, ids := range c.order {
		for _, id := range ids {
			if id != c.self.ID {
				wanted[id] = c.known.Peers[id].Address
			}
		}
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
		log:    c.log,
	}
	c.parts.Go(func() { l.run(ctx) })
	return &linked{
		link:   l,
		cancel: cancel,
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
	for _, id := range c.order[service] {
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
	a.Domain = c.self.FailureDomain
	a.Exclude = append(slices.Clone(a.Exclude), c.local.Shunned(a.Service)...)
	owners := c.owners(a.Service)
	for _, l := range owners {
		if l == nil {
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
	g, err := c.local.Place(ctx, a)
	if err == nil {
		c.note(a, g, nil)
	}
	return g, err
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
	for _, l := range c.owners(a.Service) {
		if l != nil && l != by {
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
	m := firstMessage(id, service)
	for _, l := range c.owners(service) {
		if l != nil {
			l.tell(m)
		}
	}
}

// End implements Placer.
func (c *Client) End(id, service string, o Outcome, culprit string) {
	c.mu.Lock()
	delete(c.book, id)
	c.mu.Unlock()
	c.local.End(id, service, o, culprit)
	m := endMessage(id, service, o, culprit)
	for _, l := range c.owners(service) {
		if l != nil {
			l.tell(m)
		}
	}
}
