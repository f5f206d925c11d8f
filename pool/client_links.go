// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"context"
	"time"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/pool/poolpb"
)

// The measures of following owners.
const (
	// wantedOwners is how many instances in touch know what runs in a pool: the
	// owner, and one that can take over.
	wantedOwners = 2
	// lookEvery is how often the links are compared with what is wanted.
	lookEvery = 200 * time.Millisecond
	// spareTries is how many more owners than wanted may be open or in their first
	// try at once. An instance that starts among many would else try all.
	spareTries = 1
	// tryFor is how long a link that is not open yet may keep the next instance
	// from being tried: many round trips, and below the time in which owners are
	// replaced.
	tryFor = 150 * time.Millisecond
)

// linked is a link with what ends it.
type linked struct {
	*link
	cancel context.CancelFunc
}

// rank returns the instances in the order in which they own a pool.
func (c *Client) rank(service string, snap *catalog.Snapshot) []string {
	list := []catalog.Peer{c.self}
	for id, p := range snap.Peers {
		if id != c.self.ID {
			list = append(list, p)
		}
	}
	catalog.Order(service, list)
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
	c.assignOwners()
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
	c.tellRunning()
}

// choose returns the instances of a pool's order that are asked, and adds those
// that need a link to wanted.
func (c *Client) choose(ids []string, wanted map[string]string) []string {
	usable, trying := 0, 0
	for i, id := range ids {
		if usable == wantedOwners || usable+trying >= wantedOwners+spareTries {
			return ids[:i]
		}
		if id == c.self.ID {
			usable++
			continue
		}
		wanted[id] = c.known.Peers[id].Address
		switch l := c.links[id]; {
		case l == nil || l.trying():
			trying++
		case l.usable():
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
		dialer:  c.dialer,
		book:    c.running,
		turn:    c.turned,
		move:    c.moveAttempt,
		verdict: c.learned,
		notice:  c.local.settings.Notices.ApplyNotice,
		log:     c.log,
		began:   time.Now(),
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
// running, and what it knows of requests that crash endpoints and of what endpoints say of
// themselves.
func (c *Client) running() []*poolpb.FromEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*poolpb.FromEntry, 0, len(c.book))
	for _, r := range c.book {
		out = append(out, runningMessage(r))
	}
	out = append(out, c.crashGreeting()...)
	for _, n := range c.local.settings.Notices.Notices() {
		out = append(out, noticeToOwner(n))
	}
	return out
}

// owners returns the links of a pool in order; nil stands for this instance.
func (c *Client) owners(service string) []*linked {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.linksOf(service)
}

// linksOf returns the links of a pool in order; nil stands for this instance. The caller
// holds the lock.
func (c *Client) linksOf(service string) []*linked {
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
