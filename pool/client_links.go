// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"context"
	"time"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/pool/poolpb"
)

// Parameters of the links to owners.
const (
	// followedOwners is how many reachable owners each instance follows in a pool: the owner and
	// one standby.
	followedOwners = 2
	// relinkInterval is how often Run checks the links.
	relinkInterval = 200 * time.Millisecond
	// extraDials is how many links beyond followedOwners may be opening or open for a pool, so that
	// an instance that starts in a large fleet does not dial all others. Links that have been
	// opening for longer than dialGrace don't count.
	extraDials = 1
	// dialGrace is how long a link may take to open before the next instance in the order is
	// dialled as well. It covers many round trips and is shorter than busyTimeout.
	dialGrace = 150 * time.Millisecond
)

// ownerLink is a link together with the function that closes it.
type ownerLink struct {
	*link
	cancel context.CancelFunc
}

// rankOwners returns all instances in the order of owners of a pool.
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

// relink opens and closes links so that each pool has enough reachable owners, in its order of
// owners. Unreachable instances earlier in the order keep their links, which keep dialling. The
// caller must hold c.mu.
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
	c.announceDeciders()
}

// announceDeciders tells the followed owners of each pool which of them decides on the requests of
// this instance, if that has changed. The caller must hold c.mu.
func (c *Client) announceDeciders() {
	for service := range c.ownerOrder {
		if now := c.decider(service); now != c.deciders[service] {
			c.setDecider(service, now)
		}
	}
}

// decider returns the instance that decides on the requests of this instance in a pool with an
// owner. The caller must hold c.mu.
func (c *Client) decider(service string) string {
	for _, l := range c.linksOf(service) {
		if l == nil {
			break
		}
		if l.usable() {
			return l.peer
		}
	}
	return c.self.ID
}

// setDecider records and announces the instance that decides on the requests of this instance in a
// pool. The caller must hold c.mu.
func (c *Client) setDecider(service, instance string) {
	c.deciders[service] = instance
	c.local.setDecider(c.self.ID, service, instance)
	for _, l := range c.linksOf(service) {
		if l != nil {
			l.enqueue(deciderMessage(service, instance))
		}
	}
}

// chooseOwners returns the first part of a pool's order of owners, which this instance follows, and
// adds the addresses of the other instances in it to addresses.
func (c *Client) chooseOwners(ids []string, addresses map[string]string) []string {
	usable, trying := 0, 0
	for i, id := range ids {
		if usable == followedOwners || usable+trying >= followedOwners+extraDials {
			return ids[:i]
		}
		if id == c.self.ID {
			usable++
			continue
		}
		addresses[id] = c.snapshot.Peers[id].Address
		switch l := c.links[id]; {
		case l == nil || l.trying():
			trying++
		case l.usable():
			usable++
		}
	}
	return ids
}

// openLink opens a link that runs until the context of Run ends or the link is cancelled.
func (c *Client) openLink(id, address string) *ownerLink {
	ctx, cancel := context.WithCancel(c.ctx)
	l := &link{
		peer:    id,
		address: address,
		self: entryInfo{
			entry:   c.self.ID,
			domain:  c.self.FailureDomain,
			process: c.local.processes.self,
			running: c.local.running,
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

// wakeRun makes Run check the links.
func (c *Client) wakeRun() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// greetingMessages returns what a new session begins with: the running attempts, and what this
// instance knows of crashes, bans and the notices of endpoints.
func (c *Client) greetingMessages() []*poolpb.FromEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*poolpb.FromEntry, 0, len(c.attempts))
	for _, r := range c.attempts {
		out = append(out, runningMessage(r))
	}
	// The sends come after the running attempts, as they contain these.
	out = append(out, c.local.sends()...)
	out = append(out, c.crashMessages()...)
	for _, n := range c.local.settings.Notices.Notices() {
		out = append(out, ownerNoticeMessage(n))
	}
	return out
}

// owners returns the links to the followed owners of a pool in order; nil stands for this instance.
func (c *Client) owners(service string) []*ownerLink {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.linksOf(service)
}

// linksOf is like owners, but the caller must hold c.mu.
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
