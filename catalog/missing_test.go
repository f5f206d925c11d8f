// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"fmt"
	"testing"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/linkmast/linkmast/catalog/catalogpb"
	"github.com/linkmast/linkmast/internal/zdelta"
)

// plainStore decodes each record of the Endpoints feed as an endpoint and ignores the other
// feeds. It implements only Decode.
type plainStore struct {
	Store
}

func (plainStore) Decode(f Feed, r Record) Change {
	switch {
	case f != Endpoints:
		return nil
	case len(r.Value) == 0:
		return &EndpointRemoved{
			Instance: r.Key,
		}
	}
	return &EndpointChange{
		Endpoint: Endpoint{
			Instance: r.Key,
		},
	}
}

// newPlain returns a catalog with n endpoints, each written once.
func newPlain(n int) *Catalog {
	c := New(Settings{}, plainStore{}, nil, logr.Discard())
	var all []Record
	for i := range n {
		all = append(all, record(i, int64(i)))
	}
	c.apply(Endpoints, all, int64(n), allParts, fromStore)
	return c
}

func record(i int, offset int64) Record {
	return Record{
		Key:    fmt.Sprint("e", i),
		Value:  []byte("x"),
		Offset: offset,
	}
}

// transfer sends to a follower what it lacks, and returns the number of records sent.
func transfer(from, to *Catalog) int {
	n := 0
	for _, l := range from.missingFor(to.firstPing()) {
		n += len(l.records)
		to.apply(l.feed, l.records, l.next, l.parts, fromPeer)
	}
	return n
}

// assertSame checks that two catalogs have the same endpoints and checksums.
func assertSame(is *is.I, a, b *Catalog) {
	is.Helper()
	is.Equal(a.endpoints, b.endpoints)
	is.Equal(*a.checksums[Endpoints], *b.checksums[Endpoints])
}

// transferParts sends to a follower at most the given number of messages with records that it
// lacks. It returns the number of records sent, and whether those were all.
func transferParts(is *is.I, from, to *Catalog, most int) (records int, all bool) {
	is.Helper()
	for i, l := range from.missingFor(to.firstPing()) {
		if i == most {
			return records, false
		}
		u, err := l.encode()
		is.NoErr(err)
		is.True(proto.Size(u) < 2*maxMissingBytes)
		m := u.GetRecords()
		got, err := to.decode(l.feed, m.GetRecords())
		is.NoErr(err)
		to.applyBatch(batch{
			feed:    l.feed,
			records: got,
			next:    m.GetNext(),
			whole:   parts(m.GetParts()),
			more:    m.GetMore(),
			from:    fromPeer,
		})
		records += len(got)
	}
	return records, true
}

// TestMissingInParts checks that a follower receives many records in messages of limited size,
// and that after an interruption it resumes instead of taking the records so far for the whole
// feed.
func TestMissingInParts(t *testing.T) {
	is := is.New(t)
	const n = 2000
	from, to := New(Settings{}, plainStore{}, nil, logr.Discard()), New(Settings{}, plainStore{}, nil, logr.Discard())
	var all []Record
	for i := range n {
		r := record(i, int64(i))
		r.Value = make([]byte, 250)
		all = append(all, r)
	}
	from.apply(Endpoints, all, n, allParts, fromStore)
	first, complete := transferParts(is, from, to, 10)
	is.True(!complete)
	_, known := to.next[Endpoints]
	is.True(!known)
	is.Equal(to.resume(Endpoints), int64(unread))
	rest, complete := transferParts(is, from, to, n)
	is.True(complete)
	is.Equal(to.next[Endpoints], int64(n))
	is.Equal(first+rest, n)
	is.Equal(to.endpoints.values, from.endpoints.values)
}

// TestOnlyMissing checks that a follower receives few records that it already has.
func TestOnlyMissing(t *testing.T) {
	const n = 300
	for _, row := range []struct {
		name   string
		change func(from *Catalog)
		most   int
	}{
		{"no change", func(*Catalog) {}, 0},
		{"one changed", func(c *Catalog) {
			c.apply(Endpoints, []Record{record(7, n)}, n+1, 0, fromStore)
		}, 20},
		{"one new", func(c *Catalog) {
			c.apply(Endpoints, []Record{record(n, n)}, n+1, 0, fromStore)
		}, 20},
		{"one removed", func(c *Catalog) {
			c.apply(Endpoints, []Record{{
				Key:    "e7",
				Offset: n,
			}}, n+1, 0, fromStore)
		}, 20},
		{"half removed and compacted", func(c *Catalog) {
			*c = *newPlain(n / 2)
			c.next[Endpoints] = n + 1
		}, n / 2},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			from, to := newPlain(n), New(Settings{}, plainStore{}, nil, logr.Discard())
			is.Equal(transfer(from, to), n) // the follower has no records yet
			assertSame(is, from, to)
			row.change(from)
			is.True(transfer(from, to) <= row.most)
			assertSame(is, from, to)
			is.Equal(transfer(from, to), 0)
		})
	}
}

// TestNewerStays checks that a follower keeps records that are newer than all of its upstream's.
func TestNewerStays(t *testing.T) {
	is := is.New(t)
	from, to := newPlain(10), newPlain(20)
	transfer(from, to)
	is.Equal(to.endpoints.len(), 20)
}

// TestPackedOnce checks that a configuration is compressed only once for all followers.
func TestPackedOnce(t *testing.T) {
	is := is.New(t)
	c := New(Settings{}, plainStore{}, nil, logr.Discard())
	long := Record{
		Key:    "config",
		Value:  make([]byte, 100<<10),
		Offset: 1,
	}
	c.apply(Configurations, []Record{long}, 2, allParts, fromStore)
	var sent []*catalogpb.Record
	for range 2 {
		u, err := c.missingFor(&catalogpb.Ping{
			Has: noOffset,
		})[0].encode()
		is.NoErr(err)
		sent = append(sent, u.GetRecords().GetRecords()[0])
	}
	is.True(&sent[0].Value[0] == &sent[1].Value[0])
	value, err := zdelta.Unpack(sent[0].GetValue(), nil)
	is.NoErr(err)
	is.Equal(value, long.Value)
}

// TestJournalBytes checks that frequent changes of a large configuration don't exceed the size
// limit of the journal.
func TestJournalBytes(t *testing.T) {
	is := is.New(t)
	var j journal
	const size = 100 << 10
	for n := range int64(200) {
		j.add(Configurations, Record{
			Key:    "config",
			Value:  make([]byte, size),
			Offset: n,
		}, Record{})
	}
	is.True(len(j.entries) <= maxJournalBytes/size)
	is.Equal(j.end(), int64(200))
	_, kept := j.from(0)
	is.True(!kept)
	entries, kept := j.from(199)
	is.True(kept)
	is.Equal(entries[0].record.Offset, int64(199))
}
