// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"time"

	"github.com/linkmast/linkmast/internal/steady"
)

// recordSource is where records come from.
type recordSource int

// The sources of records.
const (
	// fromStore are records that this instance read: it may have to doubt
	// removals.
	fromStore recordSource = iota
	// fromPeer are records of an instance that is followed. They took effect
	// there, so that doubts are over.
	fromPeer
)

// maxRecordLogs is how many records that come together have a line each; of more there is one
// line. An instance that starts hears of all endpoints and instances, and in a fleet as many
// others start with it.
const maxRecordLogs = 16

// batch are records of a feed that come together: all there is before next of the whole
// parts of the feed, so that what is missing there has gone.
type batch struct {
	feed    Feed
	records []Record
	next    int64
	whole   parts
	// more states that further parts follow, so that not all before next is known yet.
	more bool
	from recordSource
}

// apply takes over a batch of records after which none are to follow.
func (c *Catalog) apply(f Feed, records []Record, next int64, whole parts, from recordSource) {
	c.applyBatch(batch{
		feed:    f,
		records: records,
		next:    next,
		whole:   whole,
		from:    from,
	})
}

// applyBatch takes over a batch of records.
func (c *Catalog) applyBatch(b batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := false
	if _, had := c.next[b.feed]; !b.more {
		c.next[b.feed] = max(c.next[b.feed], b.next)
		changed = !had
	}
	seen := make(map[string]bool, len(b.records))
	c.suppressRecordLogs = len(b.records) > maxRecordLogs
	for _, r := range b.records {
		seen[r.Key] = true
		changed = c.applyRecord(b.feed, r, b.from) || changed
	}
	if c.suppressRecordLogs {
		c.suppressRecordLogs = false
		c.log.Info("many records known", "feed", b.feed.String(), "records", len(b.records), "changed", changed,
			"endpoints", c.endpoints.len(), "instances", c.peers.len(), "next", b.next)
	}
	if b.whole != 0 {
		changed = c.dropMissing(b.feed, b.whole, seen, b.next, b.from) || changed
	}
	c.topologyStale = c.topologyStale || changed && b.feed == Peers
	if c.topologyStale && !b.more {
		c.topologyStale = false
		c.updateTopology()
	}
	if changed {
		c.publish()
	}
}

// applyRecord takes over a record if it is newer than what is known. It returns
// whether that changed anything.
func (c *Catalog) applyRecord(f Feed, r Record, from recordSource) bool {
	if old, known := c.records[f][r.Key]; known && r.Offset <= old.Offset {
		return false
	}
	if w, waits := c.heldRemovals[r.Key]; f == Endpoints && waits && from == fromStore && r.Offset <= w.record.Offset {
		return false
	}
	switch v := c.store.Decode(f, r).(type) {
	case *TableChange:
		c.tableKey = r.Key
		c.applyTable(v)
	case *DomainDrained:
		c.drainDomain(v.Domain)
	case *DomainUndrained:
		c.undrainDomain(v.Domain)
	case *RequestBanned:
		c.banned[v.Verdict.Identity] = v.Verdict
	case *RequestReleased:
		delete(c.banned, v.Identity)
	case *EndpointChange:
		if !c.applyEndpoint(v.Endpoint) {
			return false
		}
	case *EndpointRemoved:
		return c.removeEndpoint(r, from)
	case *PeerChange:
		if known, _ := c.peers.get(v.Peer.ID); known != v.Peer && !c.suppressRecordLogs {
			c.log.Info("peer known", "peer", v.Peer.ID, "address", v.Peer.Address)
		}
		c.peers.set(v.Peer.ID, v.Peer)
	case *PeerRemoved:
		c.log.Info("peer gone", "peer", v.ID)
		c.peers.remove(v.ID)
	case *Malformed:
		c.log.Error(v.Err, "record ignored", "key", v.Key)
		return f == Endpoints && v.Key != "" && c.applyInvalidEndpoint(r)
	}
	c.commitRecord(f, r)
	return true
}

// commitRecord keeps a record that took effect, and hands it on to followers.
func (c *Catalog) commitRecord(f Feed, r Record) {
	before := c.records[f][r.Key]
	c.records[f][r.Key] = r
	c.checksums[f].toggle(before)
	c.checksums[f].toggle(r)
	c.journal.add(f, r, before)
	long := recordKey{
		feed: f,
		key:  r.Key,
	}
	delete(c.packedValues, long)
	if len(r.Value) >= minPackedBytes {
		c.packedValues[long] = newPackedValue(r, Record{})
	}
}

// applyTable brings a configuration into force if it is newer.
func (c *Catalog) applyTable(v *TableChange) {
	if c.table != nil && v.Table.Version <= c.table.Version {
		c.log.V(1).Info("configuration is not newer", "version", v.Table.Version, "in_force", c.table.Version)
		return
	}
	before := int64(0)
	if c.table != nil {
		before = c.table.Version
	}
	c.table = v.Table
	c.log.Info("configuration in force", "version", v.Table.Version, "before", before, "routes", len(v.Table.Routes))
}

// applyEndpoint takes over an entry, and returns false for one of an older life that came
// late. An endpoint that said that it leaves does not come back in the same life.
func (c *Catalog) applyEndpoint(e Endpoint) bool {
	if !c.incarnations.accept(e) {
		c.log.Info("entry of an older life ignored", "endpoint", e.Instance, "born", e.StartedAt)
		return false
	}
	old, known := c.endpoints.get(e.Instance)
	e.Leaving = e.Leaving || old.Leaving && !e.Succeeds(old)
	if e.ColdFor > 0 {
		e.ColdUntil = steady.Now().Add(e.ColdFor)
	}
	delete(c.heldRemovals, e.Instance)
	if !c.suppressRecordLogs && (!known || !old.equalExceptCold(e)) {
		c.log.Info("endpoint known", "endpoint", e.Instance, "service", e.Service, "address", e.Address,
			"leaving", e.Leaving, "born", e.StartedAt, "cold_ms", e.ColdFor.Milliseconds())
	}
	c.endpoints.set(e.Instance, e)
	if e.Leaving {
		c.markDeparted(e.Instance)
	} else {
		// An entry that had lapsed is back, or the endpoint has started again.
		delete(c.departed, e.Instance)
	}
	return true
}

// applyInvalidEndpoint takes over a record of an endpoint that names none to use: what was known
// under its key gets nothing new until the key has a good entry. It returns whether
// anything was known.
func (c *Catalog) applyInvalidEndpoint(r Record) bool {
	if _, known := c.endpoints.get(r.Key); known {
		c.removeEndpointNow(r, "its entry names no endpoint to use")
		return true
	}
	c.commitRecord(Endpoints, r)
	return false
}

// markDeparted notes that an endpoint leaves or is gone.
func (c *Catalog) markDeparted(instance string) {
	if _, known := c.departed[instance]; !known {
		c.departed[instance] = steady.Now()
	}
}

// removeEndpoint ends an endpoint: at once, or in doubt only when its entry has not come
// back by then. It returns whether the endpoint ended.
func (c *Catalog) removeEndpoint(r Record, from recordSource) bool {
	if _, known := c.endpoints.get(r.Key); !known {
		c.commitRecord(Endpoints, r)
		return false
	}
	now := steady.Now()
	if from == fromPeer || !now.Before(c.holdRemovalsUntil) {
		c.removeEndpointNow(r, "its entry was removed")
		return true
	}
	if _, waits := c.heldRemovals[r.Key]; !waits {
		c.log.Info("endpoint's entry lapsed", "endpoint", r.Key, "kept_ms", c.holdRemovalsUntil.Sub(now).Milliseconds())
	}
	c.heldRemovals[r.Key] = heldRemoval{
		record: r,
		due:    c.holdRemovalsUntil,
	}
	return false
}

// removeEndpointNow ends an endpoint. The reason is for the log.
func (c *Catalog) removeEndpointNow(r Record, reason string) {
	c.endpoints.remove(r.Key)
	delete(c.heldRemovals, r.Key)
	c.markDeparted(r.Key)
	c.commitRecord(Endpoints, r)
	c.log.Info("endpoint gone", "endpoint", r.Key, "reason", reason)
}

// dropMissing removes what a whole read of some parts of a feed up to an offset did not
// show; the configuration stays in force. It returns whether that changed anything.
func (c *Catalog) dropMissing(f Feed, whole parts, seen map[string]bool, next int64, from recordSource) bool {
	changed := false
	for key, old := range c.records[f] {
		if seen[key] || !whole.has(key) || len(old.Value) == 0 || old.Offset >= next || c.isTable(f, key) {
			continue
		}
		// The record that ended the key is gone too; it lay before next.
		changed = c.applyRecord(f, Record{
			Key:    key,
			Offset: next - 1,
		}, from) || changed
	}
	return changed
}

// expire removes the endpoints whose time after an outage is over.
func (c *Catalog) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := false
	for _, w := range c.heldRemovals {
		if now.Before(w.due) {
			continue
		}
		c.removeEndpointNow(w.record, "its entry did not return")
		changed = true
	}
	if changed {
		c.publish()
	}
}

// holdRemovals notes that the store could not be read at a moment.
func (c *Catalog) holdRemovals(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holdRemovalsUntil = now.Add(c.settings.Hold)
	for id, w := range c.heldRemovals {
		w.due = c.holdRemovalsUntil
		c.heldRemovals[id] = w
	}
}
