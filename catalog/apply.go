// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"bytes"
	"time"

	"github.com/linkmast/linkmast/internal/steady"
)

// recordSource is the origin of a batch of records.
type recordSource int

// The sources of records.
const (
	// fromStore marks records that this instance read. Removals of endpoints among them may be
	// held back.
	fromStore recordSource = iota
	// fromPeer marks records from the followed instance, which has already held back removals.
	fromPeer
)

// maxRecordLogs is the number of records in a batch up to which each added or changed endpoint
// and instance has its own log line. Larger batches, as at the start of an instance, have one
// line for all of these. Removals and configurations are always logged individually.
const maxRecordLogs = 16

// batch contains records of one feed. For the parts in whole, it contains all records before
// the offset next, so that keys missing from it have been deleted.
type batch struct {
	feed    Feed
	records []Record
	next    int64
	whole   parts
	// more is set if the batch is followed by further parts, so that next must not be stored
	// yet.
	more bool
	from recordSource
}

// apply applies a batch that is not followed by further parts.
func (c *Catalog) apply(f Feed, records []Record, next int64, whole parts, from recordSource) {
	c.applyBatch(batch{
		feed:    f,
		records: records,
		next:    next,
		whole:   whole,
		from:    from,
	})
}

// applyBatch applies a batch of records and publishes a snapshot if anything changed. After the
// last part of a batch that changed the Peers feed, it updates the topology.
func (c *Catalog) applyBatch(b batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeEpoch(&b)
	changed := false
	if _, had := c.next[b.feed]; !b.more {
		c.next[b.feed] = max(c.next[b.feed], b.next)
		changed = !had
	}
	seen := make(map[string]bool, len(b.records))
	c.suppressRecordLogs = len(b.records) > maxRecordLogs
	for _, r := range b.records {
		seen[r.Key] = true
		if b.whole == 0 || !c.revertsKnown(b.feed, r) {
			changed = c.applyRecord(b.feed, r, b.from) || changed
		}
	}
	if c.suppressRecordLogs {
		c.suppressRecordLogs = false
		c.log.Info("applied many records", "feed", b.feed.String(), "records", len(b.records), "changed", changed,
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

// revertsKnown reports whether a record of a full read must be ignored, because it is probably older
// than what is known of its key. One with the known value is not, so that its position becomes known.
func (c *Catalog) revertsKnown(f Feed, r Record) bool {
	old, known := c.records[f][r.Key]
	if !known || c.isTable(f, r.Key) || bytes.Equal(r.Value, old.Value) {
		return false
	}
	return c.fromCopy(f, old) && !c.advances(f, r)
}

// applyRecord applies a record if it is newer than the known one of its key. It returns whether
// a new snapshot must be published.
func (c *Catalog) applyRecord(f Feed, r Record, from recordSource) bool {
	if old, known := c.records[f][r.Key]; known && r.Offset <= old.Offset && !c.isTable(f, r.Key) {
		if from == fromStore && !bytes.Equal(r.Value, old.Value) {
			c.log.Info("record ignored, not newer than the known one", "feed", f.String(), "key", r.Key,
				"offset", r.Offset, "known", old.Offset)
		}
		return false
	}
	if held, waits := c.heldRemovals[r.Key]; f == Endpoints && waits && from == fromStore && r.Offset <= held.record.Offset {
		return false
	}
	switch v := c.store.Decode(f, r).(type) {
	case *TableChange:
		if !c.applyTable(v, r) {
			return false
		}
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
			c.log.Info("instance added or changed", "peer", v.Peer.ID, "address", v.Peer.Address)
		}
		c.peers.set(v.Peer.ID, v.Peer)
	case *PeerRemoved:
		c.log.Info("instance gone", "peer", v.ID)
		c.peers.remove(v.ID)
	case *Malformed:
		c.log.Error(v.Err, "record ignored", "key", v.Key)
		return f == Endpoints && v.Key != "" && c.applyInvalidEndpoint(r)
	}
	c.commitRecord(f, r)
	return true
}

// commitRecord stores a record that has been applied, and adds it to the journal for followers.
func (c *Catalog) commitRecord(f Feed, r Record) {
	before := c.records[f][r.Key]
	c.records[f][r.Key] = r
	c.checksums[f].toggle(before)
	c.checksums[f].toggle(r)
	c.journal.add(f, r, before)
	id := recordKey{
		feed: f,
		key:  r.Key,
	}
	delete(c.packedValues, id)
	if len(r.Value) >= minPackedBytes {
		c.packedValues[id] = newPackedValue(r, Record{})
	}
}

// applyTable puts the configuration of record r into force if its version is higher than the
// current one, whatever the order of their records. It returns whether to store the record, which is
// also the case for a later record of the current version.
func (c *Catalog) applyTable(v *TableChange, r Record) bool {
	before := int64(0)
	if c.table != nil {
		before = c.table.Version
		if v.Table.Version == before {
			return r.Offset > c.records[Configurations][c.tableKey].Offset
		}
		if v.Table.Version < before {
			c.log.Info("configuration ignored, older than the one in force", "version", v.Table.Version, "in_force", before)
			return false
		}
	}
	c.table, c.tableKey = v.Table, r.Key
	c.log.Info("configuration in force", "version", v.Table.Version, "before", before, "routes", len(v.Table.Routes))
	return true
}

// applyEndpoint applies the entry of an endpoint. It returns false for a late entry of an older
// incarnation. Within one incarnation, a leaving endpoint stays leaving.
func (c *Catalog) applyEndpoint(e Endpoint) bool {
	if !c.incarnations.accept(e) {
		c.log.Info("entry of an older incarnation ignored", "endpoint", e.Instance, "born", e.StartedAt)
		return false
	}
	old, known := c.endpoints.get(e.Instance)
	e.Leaving = e.Leaving || old.Leaving && !e.Succeeds(old)
	if e.ColdFor > 0 {
		e.ColdUntil = steady.Now().Add(e.ColdFor)
	}
	delete(c.heldRemovals, e.Instance)
	if !c.suppressRecordLogs && (!known || !old.equalExceptCold(e)) {
		c.log.Info("endpoint added or changed", "endpoint", e.Instance, "service", e.Service, "address", e.Address,
			"leaving", e.Leaving, "born", e.StartedAt, "cold_ms", e.ColdFor.Milliseconds())
	}
	c.endpoints.set(e.Instance, e)
	if e.Leaving {
		c.markDeparted(e.Instance)
	} else {
		// The entry was renewed after it had lapsed, or the endpoint has restarted.
		delete(c.departed, e.Instance)
	}
	return true
}

// applyInvalidEndpoint applies a malformed endpoint record: it removes the endpoint with this
// key until a valid entry arrives. It returns whether the endpoint was known.
func (c *Catalog) applyInvalidEndpoint(r Record) bool {
	if _, known := c.endpoints.get(r.Key); known {
		c.removeEndpointNow(r, "its entry is malformed")
		return true
	}
	c.commitRecord(Endpoints, r)
	return false
}

// markDeparted records when an endpoint started to leave or was removed.
func (c *Catalog) markDeparted(instance string) {
	if _, known := c.departed[instance]; !known {
		c.departed[instance] = steady.Now()
	}
}

// removeEndpoint removes an endpoint, or holds the removal back if it was read from the store
// during or shortly after an outage. It returns whether the endpoint was removed.
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

// removeEndpointNow removes an endpoint and logs the reason.
func (c *Catalog) removeEndpointNow(r Record, reason string) {
	c.endpoints.remove(r.Key)
	delete(c.heldRemovals, r.Key)
	c.markDeparted(r.Key)
	c.commitRecord(Endpoints, r)
	c.log.Info("endpoint gone", "endpoint", r.Key, "reason", reason)
}

// dropMissing deletes the keys of the given parts that a full read up to the offset next did
// not return, except the configuration. It returns whether anything changed.
func (c *Catalog) dropMissing(f Feed, whole parts, seen map[string]bool, next int64, from recordSource) bool {
	changed := false
	for key, old := range c.records[f] {
		if seen[key] || !whole.has(key) || len(old.Value) == 0 || old.Offset >= next || c.isTable(f, key) || c.fromCopy(f, old) {
			continue
		}
		// The store no longer keeps the record that deleted the key; its offset was below next.
		changed = c.applyRecord(f, Record{
			Key:    key,
			Offset: next - 1,
		}, from) || changed
	}
	return changed
}

// expire applies the held removals that are due.
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

// holdRemovals extends the time for which removals of endpoints are held back, after a read
// failed at the given time.
func (c *Catalog) holdRemovals(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holdRemovalsUntil = now.Add(c.settings.Hold)
	for id, w := range c.heldRemovals {
		w.due = c.holdRemovalsUntil
		c.heldRemovals[id] = w
	}
}
