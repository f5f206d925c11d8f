// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"context"
	"slices"
	"time"

	"github.com/linkmast/linkmast/catalog/catalogpb"
	"github.com/linkmast/linkmast/internal/steady"
)

// The times of writing the entries of instances that have started. Those of many go into
// the store with one call: it takes such calls in turn.
const (
	// announceBatchDelay is how long entries are gathered after the first one.
	announceBatchDelay = 100 * time.Millisecond
	// announceTimeout bounds one call.
	announceTimeout = 2 * time.Second
	// announceRetryDelay is how long after a call that failed it is made again, unless the
	// entries stand by then: it may have been done all the same.
	announceRetryDelay = 2 * time.Second
	// forwardRetryDelay is how long after an instance that did not take them over entries are
	// handed on again: one that starts at the same time may not listen yet.
	forwardRetryDelay = 100 * time.Millisecond
	// ownEntryCheckInterval is how often an instance looks whether its own entry stands. It takes
	// so long until others have written it.
	ownEntryCheckInterval = 3 * time.Second
)

// maxAnnounced bounds how many entries one call or message has.
const maxAnnounced = 1000

// announceLoop sees to the entries of this instance and of those that have told it of
// theirs, until ctx ends.
func (c *Catalog) announceLoop(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		arrived, joining := c.pending.arrived.next(), c.joinedCh
		if c.joined.Load() {
			joining = nil
		}
		c.checkOwnEntry()
		if c.announceDue(ctx, failures) {
			failures = 0
		} else {
			failures++
		}
		pause := min(ownEntryCheckInterval, c.pending.next())
		select {
		case <-ctx.Done():
		case <-joining:
		case <-arrived:
			sleep(ctx, announceBatchDelay)
		case <-time.After(pause):
		}
	}
}

// checkOwnEntry adds this instance to the newcomers if its entry lacks although it was
// there to be written for a while.
func (c *Catalog) checkOwnEntry() {
	due := c.ownEntryDue.Load()
	if due == nil || steady.Now().Before(*due) || !c.knowsPeers() || c.entryStored(c.settings.Self) {
		return
	}
	next := steady.Now().Add(ownEntryCheckInterval)
	c.ownEntryDue.Store(&next)
	c.pending.add(c.settings.Self)
}

// knowsPeers states whether the entries of the instances are known.
func (c *Catalog) knowsPeers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, known := c.next[Peers]
	return known
}

// entryStored states whether the entry of an instance is known to be in the store.
func (c *Catalog) entryStored(p Peer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, _ := c.peers.get(p.ID)
	return len(c.records[Peers][p.ID].Value) > 0 && known == p
}

// announceDue writes the entries that are due, or hands them on to whom this instance
// follows, so that those of many instances go into the store together. It returns false when
// that failed, after a number of failures in a row.
func (c *Catalog) announceDue(ctx context.Context, failures int) bool {
	to, known := c.announceTarget()
	if !known {
		return true
	}
	due := c.pending.take(c.entryStored)
	if len(due) == 0 {
		return true
	}
	retry := announceRetryDelay
	var err error
	if to == "" {
		err = c.announce(ctx, due)
	} else {
		retry = forwardRetryDelay
		err = c.forwardEntries(ctx, to, due)
	}
	if err != nil {
		c.pending.postpone(due, steady.Now().Add(retry))
		if shouldLogFailure(failures + 1) {
			c.log.Info("entries of instances not written", "instances", len(due), "failures", failures+1, "by", to, "cause", err.Error())
		}
		return false
	}
	c.pending.forget(due)
	return true
}

// announceTarget returns the address of the instance that this one hands entries to, which is
// empty if it writes them itself; false while it can do neither.
func (c *Catalog) announceTarget() (address string, known bool) {
	if c.storeAnswered.within(c.freshFor()) {
		return "", true
	}
	if followed := c.upstreamAddress.Load(); followed != nil {
		return *followed, true
	}
	if at := slices.Index(c.settings.Seeds, c.settings.Self.Address); at > 0 && !c.knowsPeers() {
		return c.settings.Seeds[0], true
	}
	return "", c.joined.Load() && c.knowsPeers()
}

// announce writes entries.
func (c *Catalog) announce(ctx context.Context, due []Peer) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := c.store.Announce(ctx, due); err != nil {
		return err
	}
	c.log.Info("entries of instances written", "instances", len(due), "first", due[0].ID)
	return nil
}

// forwardEntries hands entries on to another instance.
func (c *Catalog) forwardEntries(ctx context.Context, address string, due []Peer) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	conn, err := c.dialer.Conn(address)
	if err != nil {
		return err
	}
	_, err = catalogpb.NewCatalogClient(conn).Join(ctx, &catalogpb.JoinRequest{
		Started: introductions(due),
	})
	return err
}
