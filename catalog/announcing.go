// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"context"
	"slices"
	"time"

	"github.com/linkmast/linkmast/catalog/catalogpb"
	"github.com/linkmast/linkmast/internal/steady"
)

// Timing of writing the entries of started instances. Many entries are written in one call,
// because the store processes these calls one at a time.
const (
	// announceBatchDelay is how long entries are collected after the first one.
	announceBatchDelay = 100 * time.Millisecond
	// announceTimeout is the timeout of one call that writes entries.
	announceTimeout = 2 * time.Second
	// announceRetryDelay is the delay before a failed call is repeated for the entries that
	// have not appeared by then. A call that failed may have been executed.
	announceRetryDelay = 2 * time.Second
	// forwardRetryDelay is the delay before entries are forwarded again to an instance that did
	// not accept them, which may still be starting.
	forwardRetryDelay = 100 * time.Millisecond
	// ownEntryCheckInterval is how often an instance checks that its own entry is in the store,
	// and how long it waits for others to write it.
	ownEntryCheckInterval = 3 * time.Second
)

// maxAnnounced is the maximum number of entries in one call or message.
const maxAnnounced = 1000

// announceLoop writes or forwards the entries of this instance and of those that sent it
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

// checkOwnEntry adds this instance to the pending entries if a check is due, the list of
// instances is known and the store lacks this instance's entry.
func (c *Catalog) checkOwnEntry() {
	due := c.ownEntryDue.Load()
	if due == nil || steady.Now().Before(*due) || !c.knowsPeers() || c.entryStored(c.settings.Self) {
		return
	}
	next := steady.Now().Add(ownEntryCheckInterval)
	c.ownEntryDue.Store(&next)
	c.pending.add(c.settings.Self)
}

// knowsPeers reports whether this instance has received all entries of the Peers feed.
func (c *Catalog) knowsPeers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, known := c.next[Peers]
	return known
}

// entryStored reports whether the store is known to contain exactly this entry of an instance, also
// after it has come back from a copy.
func (c *Catalog) entryStored(p Peer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, _ := c.peers.get(p.ID)
	r, s := c.records[Peers][p.ID], c.epochs[Peers]
	if EpochOf(r.Offset) < s.current && s.settled(steady.Now(), settleTime) {
		return false
	}
	return len(r.Value) > 0 && known == p
}

// announceDue writes the due entries to the store or forwards them to another instance, so that
// those of many instances are written together. It returns false if that failed; failures is
// the number of consecutive failures before.
func (c *Catalog) announceDue(ctx context.Context, failures int) bool {
	target, known := c.announceTarget()
	if !known {
		return true
	}
	due := c.pending.take(c.entryStored)
	if len(due) == 0 {
		return true
	}
	retry := announceRetryDelay
	var err error
	if target == "" {
		err = c.announce(ctx, due)
	} else {
		retry = forwardRetryDelay
		err = c.forwardEntries(ctx, target, due)
	}
	if err != nil {
		c.pending.postpone(due, steady.Now().Add(retry))
		if shouldLogFailure(failures + 1) {
			c.log.Info("entries of instances not written", "instances", len(due), "failures", failures+1, "by", target, "cause", err.Error())
		}
		return false
	}
	c.pending.forget(due)
	return true
}

// announceTarget returns the address of the instance to which this one forwards entries, or ""
// if it writes them itself. It returns false if it can do neither yet.
func (c *Catalog) announceTarget() (address string, known bool) {
	if c.storeAnswered.within(c.freshFor()) {
		return "", true
	}
	if upstream := c.upstreamAddress.Load(); upstream != nil {
		return *upstream, true
	}
	if index := slices.Index(c.settings.Seeds, c.settings.Self.Address); index > 0 && !c.knowsPeers() {
		return c.settings.Seeds[0], true
	}
	return "", c.joined.Load() && c.knowsPeers()
}

// announce writes entries to the store.
func (c *Catalog) announce(ctx context.Context, due []Peer) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := c.store.Announce(ctx, due); err != nil {
		return err
	}
	c.log.Info("entries of instances written", "instances", len(due), "first", due[0].ID)
	return nil
}

// forwardEntries sends entries to another instance, which writes or forwards them.
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
