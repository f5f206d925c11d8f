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
	// followedOwners is how many instances in touch know what runs in a pool: the
	// owner, and one that can take over.
	followedOwners = 2
	// relinkInterval is how often the links are compared with what is wanted.
	relinkInterval = 200 * time.Millisecond
	// extraDials is how many more owners than wanted may be open or in their first
	// try at once. An instance that starts among many would else try all.
	extraDials = 1
	// dialGrace is how long a link that is not open yet may keep the next instance
	// from being tried: many round trips, and below the time in which owners are
	// replaced.
	dialGrace = 150 * time.Millisecond
)

// ownerLink is a link with what ends it.
type ownerLink struct {
	*link
	cancel context.CancelFunc
}

// rankOwners returns the instances in the order in which they own a pool.
func (c *Client) rankOwners(service string, snap *catalog.Snapshot) []string {
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
	if c.ctx == nil || c.snapshot == nil {
		return
	}
	c.assignOwners()
	wanted := make(map[string]string)
	for service, ids := range c.ownerOrder {
		c.followed[service] = c.chooseOwners(ids, wanted)
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
	c.announceAttempts()
}

// chooseOwners returns the instances of a pool's order that are asked, and adds those
// that need a link to wanted.
func (c *Client) chooseOwners(ids []string, wanted map[string]string) []string {
	usable, trying := 0, 0
	for i, id := range ids {
		if usable == followedOwners || usable+trying >= followedOwners+extraDials {
			return ids[:i]
		}
		if id == c.self.ID {
			usable++
			continue
		}
		wanted[id] = c.snapshot.Peers[id].Address
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
func (c *Client) openLink(id, address string) *ownerLink {
	ctx, cancel := context.WithCancel(c.ctx)
	l := &link{
		peer:    id,
		address: address,
		self: entryInfo{
			entry:  c.self.ID,
			domain: c.self.FailureDomain,
		},
		dialer:      c.dialer,
		greeting:    c.greetingMessages,
		onChange:    c.wakeRun,
		onMigrate:   c.migrateAttempt,
		onVerdict:   c.learnVerdict,
		onNotice:    c.local.settings.Notices.ApplyNotice,
		log:         c.log,
		tryingSince: time.Now(),
	}
	c.linkGroup.Go(func() { l.run(ctx) })
	return &ownerLink{
		link:   l,
		cancel: cancel,
	}
}

// wakeRun makes the links be looked at anew.
func (c *Client) wakeRun() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// greetingMessages returns the messages that tell an owner what this instance has
// running, and what it knows of requests that crash endpoints and of what endpoints say of
// themselves.
func (c *Client) greetingMessages() []*poolpb.FromEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*poolpb.FromEntry, 0, len(c.attempts))
	for _, r := range c.attempts {
		out = append(out, runningMessage(r))
	}
	out = append(out, c.crashMessages()...)
	for _, n := range c.local.settings.Notices.Notices() {
		out = append(out, ownerNoticeMessage(n))
	}
	return out
}

// owners returns the links of a pool in order; nil stands for this instance.
func (c *Client) owners(service string) []*ownerLink {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.linksOf(service)
}

// linksOf returns the links of a pool in order; nil stands for this instance. The caller
// holds the lock.
func (c *Client) linksOf(service string) []*ownerLink {
	var out []*ownerLink
	for _, id := range c.followed[service] {
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
