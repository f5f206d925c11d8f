// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"time"

	"github.com/linkmast/linkmast/internal/steady"
)

// source is where records come from.
type source int

// The sources of records.
const (
	// fromStore are records that this instance read: it may have to doubt
	// removals.
	fromStore source = iota
	// fromPeer are records of an instance that is followed. They took effect
	// there, so that doubts are over.
	fromPeer
)

// mostLines is how many records that come together have a line each; of more there is one
// line. An instance that starts hears of all endpoints and instances, and in a fleet as many
// others start with it.
const mostLines = 16

// batch are records of a feed that come together: all there is before next of the whole
// parts of the feed, so that what is missing there has gone.
type batch struct {
	feed    Feed
	records []Record
	next    int64
	whole   parts
	// more states that further parts follow, so that not all before next is known yet.
	more bool
	from source
}

// apply takes over a batch of records after which none are to follow.
func (c *Catalog) apply(f Feed, records []Record, next int64, whole parts, from source) {
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
	c.quiet = len(b.records) > mostLines
	for _, r := range b.records {
		seen[r.Key] = true
		changed = c.applyRecord(b.feed, r, b.from) || changed
	}
	if c.quiet {
		c.quiet = false
		c.log.Info("many records known", "feed", b.feed.String(), "records", len(b.records), "changed", changed,
			"endpoints", c.endpoints.len(), "instances", c.peers.len(), "next", b.next)
	}
	if b.whole != 0 {
		changed = c.dropMissing(b.feed, b.whole, seen, b.next, b.from) || changed
	}
	c.unranked = c.unranked || changed && b.feed == Peers
	if c.unranked && !b.more {
		c.unranked = false
		c.rank()
	}
	if changed {
		c.publish()
	}
}

// applyRecord takes over a record if it is newer than what is known. It returns
// whether that changed anything.
func (c *Catalog) applyRecord(f Feed, r Record, from source) bool {
	if old, known := c.records[f][r.Key]; known && r.Offset <= old.Offset {
		return false
	}
	if w, waits := c.vanished[r.Key]; f == Endpoints && waits && from == fromStore && r.Offset <= w.record.Offset {
		return false
	}
	switch v := c.store.Decode(f, r).(type) {
	case *TableChange:
		c.tableKey = r.Key
		c.applyTable(v)
	case *DomainEmptied:
		c.empty(v.Domain)
	case *DomainRestored:
		c.restore(v.Domain)
	case *RequestBanned:
		c.banned[v.Verdict.Identity] = v.Verdict
	case *RequestReleased:
		delete(c.banned, v.Identity)
	case *EndpointChange:
		if !c.applyEndpoint(v.Endpoint) {
			return false
		}
	case *EndpointGone:
		return c.remove(r, from)
	case *PeerChange:
		if known, _ := c.peers.get(v.Peer.ID); known != v.Peer && !c.quiet {
			c.log.Info("peer known", "peer", v.Peer.ID, "address", v.Peer.Address)
		}
		c.peers.set(v.Peer.ID, v.Peer)
	case *PeerGone:
		c.log.Info("peer gone", "peer", v.ID)
		c.peers.remove(v.ID)
	case *Malformed:
		c.log.Error(v.Err, "record ignored", "key", v.Key)
		return f == Endpoints && v.Key != "" && c.applyUnusable(r)
	}
	c.note(f, r)
	return true
}

// note keeps a record that took effect, and hands it on to followers.
func (c *Catalog) note(f Feed, r Record) {
	before := c.records[f][r.Key]
	c.records[f][r.Key] = r
	c.sums[f].toggle(before)
	c.sums[f].toggle(r)
	c.journal.add(f, r, before)
	long := longKey{
		feed: f,
		key:  r.Key,
	}
	delete(c.long, long)
	if len(r.Value) >= packedFrom {
		c.long[long] = packedRecord(r, Record{})
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
	if !c.lives.note(e) {
		c.log.Info("entry of an older life ignored", "endpoint", e.Instance, "born", e.Born)
		return false
	}
	old, known := c.endpoints.get(e.Instance)
	e.Leaving = e.Leaving || old.Leaving && !e.Succeeds(old)
	if e.Cold > 0 {
		e.ColdUntil = steady.Now().Add(e.Cold)
	}
	delete(c.vanished, e.Instance)
	if !c.quiet && (!known || !old.says(e)) {
		c.log.Info("endpoint known", "endpoint", e.Instance, "service", e.Service, "address", e.Address,
			"leaving", e.Leaving, "born", e.Born, "cold_ms", e.Cold.Milliseconds())
	}
	c.endpoints.set(e.Instance, e)
	if e.Leaving {
		c.depart(e.Instance)
	} else {
		// An entry that had lapsed is back, or the endpoint has started again.
		delete(c.departed, e.Instance)
	}
	return true
}

// applyUnusable takes over a record of an endpoint that names none to use: what was known
// under its key gets nothing new until the key has a good entry. It returns whether
// anything was known.
func (c *Catalog) applyUnusable(r Record) bool {
	if _, known := c.endpoints.get(r.Key); known {
		c.removeNow(r, "its entry names no endpoint to use")
		return true
	}
	c.note(Endpoints, r)
	return false
}

// depart notes that an endpoint leaves or is gone.
func (c *Catalog) depart(instance string) {
	if _, known := c.departed[instance]; !known {
		c.departed[instance] = steady.Now()
	}
}

// remove ends an endpoint: at once, or in doubt only when its entry has not come
// back by then. It returns whether the endpoint ended.
func (c *Catalog) remove(r Record, from source) bool {
	if _, known := c.endpoints.get(r.Key); !known {
		c.note(Endpoints, r)
		return false
	}
	now := steady.Now()
	if from == fromPeer || !now.Before(c.doubt) {
		c.removeNow(r, "its entry was removed")
		return true
	}
	if _, waits := c.vanished[r.Key]; !waits {
		c.log.Info("endpoint's entry lapsed", "endpoint", r.Key, "kept_ms", c.doubt.Sub(now).Milliseconds())
	}
	c.vanished[r.Key] = removal{
		record: r,
		due:    c.doubt,
	}
	return false
}

// removeNow ends an endpoint. The reason is for the log.
func (c *Catalog) removeNow(r Record, reason string) {
	c.endpoints.remove(r.Key)
	delete(c.vanished, r.Key)
	c.depart(r.Key)
	c.note(Endpoints, r)
	c.log.Info("endpoint gone", "endpoint", r.Key, "reason", reason)
}

// dropMissing removes what a whole read of some parts of a feed up to an offset did not
// show; the configuration stays in force. It returns whether that changed anything.
func (c *Catalog) dropMissing(f Feed, whole parts, seen map[string]bool, next int64, from source) bool {
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
	for _, w := range c.vanished {
		if now.Before(w.due) {
			continue
		}
		c.removeNow(w.record, "its entry did not return")
		changed = true
	}
	if changed {
		c.publish()
	}
}

// troubled notes that the store could not be read at a moment.
func (c *Catalog) troubled(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.doubt = now.Add(c.settings.Hold)
	for id, w := range c.vanished {
		w.due = c.doubt
		c.vanished[id] = w
	}
}
