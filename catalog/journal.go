// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"sync"

	"github.com/linkmast/linkmast/internal/zdelta"
)

// journalLength is how many changes followers may be behind before they get all
// records anew.
const journalLength = 512

// entry is a record that took effect.
type entry struct {
	feed   Feed
	record Record
	// packed is a long record's value against that of the record before.
	packed *packed
}

// packedFrom is the size from which values are packed, in bytes.
const packedFrom = 2 << 10

// packed is a value against an earlier one of its key, packed when it is first
// sent. All followers share it.
type packed struct {
	value Record
	base  Record

	once sync.Once
	data []byte
	err  error
}

// bytes returns the packed value.
func (p *packed) bytes() ([]byte, error) {
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
}

// add adds a record that replaces another one of its key.
func (j *journal) add(f Feed, r, before Record) {
	e := entry{
		feed:   f,
		record: r,
	}
	if len(r.Value) >= packedFrom && len(before.Value) > 0 {
		e.packed = &packed{
			value: r,
			base:  before,
		}
	}
	j.entries = append(j.entries, e)
	if over := len(j.entries) - journalLength; over > 0 {
		j.entries = append([]entry(nil), j.entries[over:]...)
		j.first += int64(over)
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
