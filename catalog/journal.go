// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"sync"

	"github.com/linkmast/linkmast/catalog/catalogpb"
	"github.com/linkmast/linkmast/internal/zdelta"
)

// The bounds of the changes that followers may be behind before they get all records
// anew.
const (
	// maxJournalEntries counts changes.
	maxJournalEntries = 512
	// maxJournalBytes bounds the values of these changes. Configurations of 100 KB in
	// quick succession would else hold 50 MB on each instance.
	maxJournalBytes = 4 << 20
)

// entry is a record that took effect.
type entry struct {
	feed Feed
	// record is the record; a long one's value is in packed.
	record Record
	// packed is a long record's value against that of the record before.
	packed *packedValue
	// size is how many bytes of values the entry holds at most.
	size int
}

// encode makes the message of the record.
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

// minPackedBytes is the size from which values are packed, in bytes.
const minPackedBytes = 2 << 10

// packedValue is a value against an earlier one of its key, which may be none, packedValue when
// it is first sent. All followers share it: 150 that came at once and got a
// configuration packedValue anew each took 490 MB, mostly of the compressor's.
type packedValue struct {
	value Record
	base  Record

	once sync.Once
	data []byte
	err  error
}

// newPackedValue returns a record's value against that of the record before.
func newPackedValue(r, before Record) *packedValue {
	if len(before.Value) == 0 {
		before.Offset = noOffset
	}
	return &packedValue{
		value: r,
		base:  before,
	}
}

// bytes returns the packed value.
func (p *packedValue) bytes() ([]byte, error) {
	p.once.Do(func() {
		p.data, p.err = zdelta.Pack(p.value.Value, p.base.Value)
		p.value, p.base = Record{}, Record{
			Offset: p.base.Offset,
		}
	})
	return p.data, p.err
}

// journal is the latest changes in order.
type journal struct {
	entries []entry
	// first is the number of the first entry that is kept.
	first int64
	// size is the sum of the entries' sizes in bytes.
	size int
}

// add adds a record that replaces another one of its key.
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

// end is the number of the next entry.
func (j *journal) end() int64 {
	return j.first + int64(len(j.entries))
}

// from returns the entries from a number on, or false when they are not kept.
func (j *journal) from(n int64) ([]entry, bool) {
	if n < j.first {
		return nil, false
	}
	return j.entries[n-j.first:], true
}
