// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"slices"

	"github.com/linkmast/linkmast/catalog/catalogpb"
)

// firstPing returns what this instance says that it has when it begins to follow.
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

// missingRecords is what a follower lacks of a feed.
type missingRecords struct {
	feed    Feed
	next    int64
	records []Record
	// parts are those of the feed of which records has all.
	parts parts
	// long are the packed values of long records, by key.
	long map[string]*packedValue
	// more states that further parts of the feed follow.
	more bool
}

// maxMissingBytes is the size of the records of one message to an instance that lacks many. A
// carrier sends all endpoints and instances to some 40 followers that start together; in one
// message each is 350 KB with 1,000 of each, and is held several times over on its way.
const maxMissingBytes = 24 << 10

// split returns the same in messages of about lackBytes, each of which has all records of
// some parts.
func (l *missingRecords) split() []missingRecords {
	byPart := make(map[int][]Record)
	for _, r := range l.records {
		byPart[partOf(r.Key)] = append(byPart[partOf(r.Key)], r)
	}
	var out []missingRecords
	one := l.emptyCopy()
	size := 0
	for part := range partCount {
		if !l.parts.contains(part) {
			continue
		}
		if size > maxMissingBytes {
			one.more = true
			out = append(out, one)
			one, size = l.emptyCopy(), 0
		}
		one.parts |= 1 << part
		for _, r := range byPart[part] {
			one.records = append(one.records, r)
			size += len(r.Key) + len(r.Value)
		}
	}
	return append(out, one)
}

// emptyCopy returns the lack of no part.
func (l *missingRecords) emptyCopy() missingRecords {
	return missingRecords{
		feed: l.feed,
		next: l.next,
		long: l.long,
	}
}

// missingFor returns what a follower lacks of the feeds that are known, as it says in its
// first ping. The caller holds the lock.
func (c *Catalog) missingFor(first *catalogpb.Ping) []missingRecords {
	said := make(map[Feed][]uint64, len(first.GetHave()))
	for _, h := range first.GetHave() {
		said[Feed(h.GetFeed())] = h.GetSums()
	}
	out := make([]missingRecords, 0, len(feeds))
	// The configuration comes last: an instance is ready once it has that.
	for _, f := range slices.Backward(feeds[:]) {
		next, known := c.next[f]
		if !known {
			continue
		}
		l := missingRecords{
			feed:  f,
			next:  next,
			parts: c.checksums[f].differ(said[f]),
			long:  make(map[string]*packedValue),
		}
		c.collect(&l, first.GetHas())
		out = append(out, l.split()...)
	}
	return out
}

// collect adds the records of a feed that are lacking; the configuration only where the
// follower has the one at another offset. The caller holds the lock.
func (c *Catalog) collect(l *missingRecords, has int64) {
	for key, r := range c.records[l.feed] {
		if !l.parts.has(key) || c.isTable(l.feed, key) && r.Offset == has {
			continue
		}
		l.records = append(l.records, r)
		if p := c.packedValues[recordKey{feed: l.feed, key: key}]; p != nil {
			l.long[key] = p
		}
	}
}

// encode makes the message of what is lacking.
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
