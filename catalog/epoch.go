// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"time"

	"github.com/linkmast/linkmast/internal/steady"
)

// offsetBits is the number of bits of a position that hold the offset. The epoch is above them.
const offsetBits = 40

// MaxEpoch is the highest epoch that a position can hold.
const MaxEpoch = 1<<(62-offsetBits) - 1

// Position returns the position of an offset of the store in an epoch. The store begins a new epoch
// whenever it comes back from a copy, and gives offsets out again. Positions order the records of a
// feed over all epochs.
func Position(epoch, offset int64) int64 {
	return epoch<<offsetBits | offset
}

// EpochOf returns the epoch of a position.
func EpochOf(position int64) int64 {
	return position >> offsetBits
}

// OffsetOf returns the offset of a position in its epoch.
func OffsetOf(position int64) int64 {
	return position & (1<<offsetBits - 1)
}

// Times after this instance learned of a new epoch.
const (
	// settleTime is the time in which the platform expects the operator and the endpoints to write
	// again what the copy lacks. Until then the content of the copy neither removes nor reverts what
	// is known.
	settleTime = 3 * time.Second
	// settleTableTime is the same for confirmations of the configuration. It is shorter, because an
	// instance without confirmations soon refuses requests that need a key.
	settleTableTime = time.Second
)

// epochState is what is known of the epochs of a feed. The zero value knows nothing.
type epochState struct {
	known bool
	// current is the highest epoch of a position of the feed, and since is when this instance
	// learned of it; zero if it knew nothing of an earlier one.
	current int64
	since   time.Time
	// firstAt is when this instance received the first records of the feed.
	firstAt time.Time
	// complete is the highest epoch of which this instance has read the feed in full after the
	// settle time.
	complete int64
}

// observe records that positions of an epoch were received. Oldest is the lowest epoch among the
// records received with them, which counts only at the first call. It returns whether the epoch is
// new and an earlier one was known.
func (s *epochState) observe(epoch, oldest int64, now time.Time) bool {
	if s.known && epoch <= s.current {
		return false
	}
	restored := s.known || oldest < epoch
	if !s.known {
		s.complete, s.firstAt = oldest, now
	}
	s.known, s.current = true, epoch
	if restored {
		s.since = now
	}
	return restored
}

// settled reports whether the current epoch was the first known one, or began at least d ago.
func (s *epochState) settled(now time.Time, d time.Duration) bool {
	return s.since.IsZero() || now.Sub(s.since) >= d
}

// observeEpoch records the epochs of a batch. The caller holds the lock.
func (c *Catalog) observeEpoch(b *batch) {
	epoch := EpochOf(b.next)
	oldest := epoch
	for _, r := range b.records {
		epoch = max(epoch, EpochOf(r.Offset))
		oldest = min(oldest, EpochOf(r.Offset))
	}
	before := c.epochs[b.feed].current
	if c.epochs[b.feed].observe(epoch, oldest, steady.Now()) {
		c.log.Info("store was restored from a copy", "feed", b.feed.String(), "epoch", epoch, "before", before,
			"records", len(c.records[b.feed]), "received", len(b.records))
	}
}

// fromCopy reports whether a record of a full read, or its absence, may be older than what is known
// of its key: the known record is of an earlier epoch, and the store has not settled. The system's own
// records are not revised at all, but written again. The caller holds the lock.
func (c *Catalog) fromCopy(f Feed, known Record) bool {
	s := c.epochs[f]
	if EpochOf(known.Offset) >= s.current {
		return false
	}
	return f == Peers || !s.settled(steady.Now(), settleTime)
}

// advances reports whether a record of an endpoint is newer than the known one by its content: it
// announces that the endpoint leaves, or belongs to a later incarnation. The caller holds the lock.
func (c *Catalog) advances(f Feed, r Record) bool {
	if f != Endpoints {
		return false
	}
	change, ok := c.store.Decode(f, r).(*EndpointChange)
	if !ok {
		return false
	}
	e := change.Endpoint
	old, present := c.endpoints.get(e.Instance)
	if !present {
		started, known := c.incarnations[e.Instance]
		return known && e.StartedAt.After(started)
	}
	return e.Leaving && !old.Leaving && !old.Succeeds(e) || e.Succeeds(old)
}

// recheckDue reports whether a feed must be read in full again, because it was last read in full
// before the store had settled.
func (c *Catalog) recheckDue(f Feed) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.epochs[f]
	return s.complete < s.current && s.settled(steady.Now(), settleTime)
}

// untilRecheck returns the time until recheckDue, or d if that is shorter or no check will be due.
func (c *Catalog) untilRecheck(f Feed, d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.epochs[f]
	if s.complete == s.current || s.since.IsZero() {
		return d
	}
	return min(d, max(steady.Until(s.since.Add(settleTime)), 0))
}

// settledSince reports whether an epoch of some feed has settled after a time, plus delay.
func (c *Catalog) settledSince(t time.Time, delay time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := steady.Now()
	for _, f := range feeds {
		s := c.epochs[f]
		if s.since.IsZero() {
			continue
		}
		if at := s.since.Add(settleTime); at.After(t) && now.Sub(at) >= delay {
			return true
		}
	}
	return false
}

// needsComparison reports whether this instance, which has read a restored store since its start, has
// yet to compare its records with those of another instance, which may know what the copy lacks.
func (c *Catalog) needsComparison() bool {
	if c.compared.Load() {
		return false
	}
	others := len(c.topology.Load().upstreams) > 0
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.epochs[Configurations]
	_, complete := c.next[Peers]
	return (others || !complete) && s.current > 0 && steady.Since(s.firstAt) < settleTableTime
}

// tableConfirmed reports whether the store's configuration proves to be the newest: it has the
// version in force or a later one, or that is not to be expected any more.
func (c *Catalog) tableConfirmed() bool {
	if c.needsComparison() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.epochs[Configurations]
	return EpochOf(c.records[Configurations][c.tableKey].Offset) >= s.current || s.settled(steady.Now(), settleTableTime)
}

// lostRecords returns what the store lacks of the system's own records after a full read, at most
// maxAnnounced: records, and deletions of keys that the copy has.
func (c *Catalog) lostRecords(read []Record) []Record {
	found := make(map[string]Record, len(read))
	for _, r := range read {
		found[r.Key] = r
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Record
	for key, r := range c.records[Peers] {
		if len(out) == maxAnnounced {
			break
		}
		if EpochOf(r.Offset) >= c.epochs[Peers].current || string(found[key].Value) == string(r.Value) {
			continue
		}
		out = append(out, Record{
			Key:   key,
			Value: r.Value,
		})
	}
	return out
}
