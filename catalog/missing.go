// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"slices"

	"github.com/linkmast/linkmast/catalog/catalogpb"
)

// firstPing returns a ping that summarizes the records that this instance has.
func (c *Catalog) firstPing() *catalogpb.Ping {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &catalogpb.Ping{
		Has: noOffset,
		Id:  c.settings.Self.ID,
	}
	if c.table != nil {
		p.Has = c.records[Configurations][c.tableKey].Offset
	}
	for _, f := range feeds {
		p.Have = append(p.Have, &catalogpb.Have{
			Feed: int32(f),
			Sums: slices.Clone(c.checksums[f][:]),
		})
	}
	return p
}

// missingRecords contains the records of a feed that a follower lacks.
type missingRecords struct {
	feed    Feed
	next    int64
	records []Record
	// parts are the parts of the feed of which records contains all.
	parts parts
	// long maps the keys of long records to their compressed values.
	long map[string]*packedValue
	// more is set if further parts of the feed follow.
	more bool
}

// maxMissingBytes is the size of records above which a message is split. It limits the memory
// that a relay needs when many followers start together and receive all records: with 1,000
// endpoints and instances each, one message would take 350 KB for each of some 40 followers, several
// times over.
const maxMissingBytes = 24 << 10

// split divides l into messages of about maxMissingBytes, each with all records of some parts.
func (l *missingRecords) split() []missingRecords {
	byPart := make(map[int][]Record)
	for _, r := range l.records {
		byPart[partOf(r.Key)] = append(byPart[partOf(r.Key)], r)
	}
	var out []missingRecords
	message := l.emptyCopy()
	size := 0
	for part := range partCount {
		if !l.parts.contains(part) {
			continue
		}
		if size > maxMissingBytes {
			message.more = true
			out = append(out, message)
			message, size = l.emptyCopy(), 0
		}
		message.parts |= 1 << part
		for _, r := range byPart[part] {
			message.records = append(message.records, r)
			size += len(r.Key) + len(r.Value)
		}
	}
	return append(out, message)
}

// emptyCopy returns a copy of l without parts and records.
func (l *missingRecords) emptyCopy() missingRecords {
	return missingRecords{
		feed: l.feed,
		next: l.next,
		long: l.long,
	}
}

// missingFor returns the records of all known feeds that a follower lacks according to its
// first ping. The caller holds the lock.
func (c *Catalog) missingFor(first *catalogpb.Ping) []missingRecords {
	sums := make(map[Feed][]uint64, len(first.GetHave()))
	for _, h := range first.GetHave() {
		sums[Feed(h.GetFeed())] = h.GetSums()
	}
	missing := make([]missingRecords, 0, len(feeds))
	// The configuration is sent last, because the follower is ready to serve once it has it.
	for _, f := range slices.Backward(feeds[:]) {
		next, known := c.next[f]
		if !known {
			continue
		}
		l := missingRecords{
			feed:  f,
			next:  next,
			parts: c.checksums[f].differ(sums[f]),
			long:  make(map[string]*packedValue),
		}
		c.collect(&l, first.GetHas())
		missing = append(missing, l.split()...)
	}
	return missing
}

// collect adds the records of the parts in l. It omits the configuration if its offset is
// tableOffset, that of the follower's configuration. The caller holds the lock.
func (c *Catalog) collect(l *missingRecords, tableOffset int64) {
	for key, r := range c.records[l.feed] {
		if !l.parts.has(key) || c.isTable(l.feed, key) && r.Offset == tableOffset {
			continue
		}
		l.records = append(l.records, r)
		if p := c.packedValues[recordKey{feed: l.feed, key: key}]; p != nil {
			l.long[key] = p
		}
	}
}

// encode returns the message that contains the records.
func (l *missingRecords) encode() (*catalogpb.Update, error) {
	out := make([]*catalogpb.Record, 0, len(l.records))
	for _, r := range l.records {
		m := &catalogpb.Record{
			Key:    r.Key,
			Value:  r.Value,
			Offset: r.Offset,
			Base:   noOffset,
		}
		if p := l.long[r.Key]; p != nil {
			data, err := p.bytes()
			if err != nil {
				return nil, err
			}
			m.Value, m.Packed = data, true
		}
		out = append(out, m)
	}
	u := update(l.feed, l.next, l.parts, out)
	u.GetRecords().More = l.more
	return u, nil
}
