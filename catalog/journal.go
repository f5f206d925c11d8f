// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"sync"

	"github.com/linkmast/linkmast/catalog/catalogpb"
	"github.com/linkmast/linkmast/internal/zdelta"
)

// Limits of the journal. A follower that falls further behind receives all records again.
const (
	// maxJournalEntries is the maximum number of entries.
	maxJournalEntries = 512
	// maxJournalBytes is the maximum size of the values in bytes, in case large configurations
	// change often: 512 of 100 KB would take 50 MB on each instance.
	maxJournalBytes = 4 << 20
)

// entry is a record that has been applied.
type entry struct {
	feed Feed
	// record is the record, without its value if packed is set.
	record Record
	// packed is the value of a long record, compressed with the previous value of its key as
	// the dictionary; nil for short records.
	packed *packedValue
	// size is the size of the uncompressed value in bytes.
	size int
}

// encode returns the record in the form in which it is sent.
func (e *entry) encode() (*catalogpb.Record, error) {
	m := &catalogpb.Record{
		Key:    e.record.Key,
		Value:  e.record.Value,
		Offset: e.record.Offset,
		Base:   noOffset,
	}
	if e.packed == nil {
		return m, nil
	}
	data, err := e.packed.bytes()
	if err != nil {
		return nil, err
	}
	m.Value, m.Packed, m.Base = data, true, e.packed.base.Offset
	return m, nil
}

// minPackedBytes is the size in bytes from which values are compressed.
const minPackedBytes = 2 << 10

// packedValue is a value that is compressed with an earlier value of the same key as the
// dictionary, if there is one. It is compressed when it is first sent, and all followers share
// the result, which avoids a compressor per follower when many connect at once.
type packedValue struct {
	value Record
	base  Record

	once sync.Once
	data []byte
	err  error
}

// newPackedValue returns the value of r, to be compressed with that of the record before.
func newPackedValue(r, before Record) *packedValue {
	if len(before.Value) == 0 {
		before.Offset = noOffset
	}
	return &packedValue{
		value: r,
		base:  before,
	}
}

// bytes returns the compressed value, and on the first call compresses it and releases the
// uncompressed values.
func (p *packedValue) bytes() ([]byte, error) {
	p.once.Do(func() {
		p.data, p.err = zdelta.Pack(p.value.Value, p.base.Value)
		p.value, p.base = Record{}, Record{
			Offset: p.base.Offset,
		}
	})
	return p.data, p.err
}

// journal contains the latest applied records in the order in which they were applied.
type journal struct {
	entries []entry
	// first is the number of the oldest entry that is kept.
	first int64
	// size is the sum of the sizes of all entries.
	size int
}

// add appends the record r and drops the oldest entries if a limit is exceeded. before is the
// record of the same key that r replaces.
func (j *journal) add(f Feed, r, before Record) {
	e := entry{
		feed:   f,
		record: r,
		size:   len(r.Value),
	}
	if len(r.Value) >= minPackedBytes {
		e.packed = newPackedValue(r, before)
		e.record.Value = nil
	}
	j.entries = append(j.entries, e)
	j.size += e.size
	for len(j.entries) > maxJournalEntries || j.size > maxJournalBytes && len(j.entries) > 1 {
		j.size -= j.entries[0].size
		j.entries[0] = entry{}
		j.entries = j.entries[1:]
		j.first++
	}
}

// end returns the number of the next entry.
func (j *journal) end() int64 {
	return j.first + int64(len(j.entries))
}

// from returns the entries from the number n on. It returns false if some of them are no longer
// kept.
func (j *journal) from(n int64) ([]entry, bool) {
	if n < j.first {
		return nil, false
	}
	return j.entries[n-j.first:], true
}
