// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// partCount is how many parts the keys of a feed are divided into. One that follows
// says what it has by the sums of all parts, 512 bytes a feed, and gets those that
// differ. With 300 keys one changed record brings four others along.
const partCount = 64

// parts is a set of parts of a feed, a bit for each.
type parts uint64

// allParts has all parts.
const allParts = ^parts(0)

// has states whether a key belongs to one of the parts.
func (p parts) has(key string) bool {
	return p.contains(partOf(key))
}

// contains states whether a part is one of the parts.
func (p parts) contains(part int) bool {
	return p&(1<<part) != 0
}

// partOf returns the part that a key belongs to.
func partOf(key string) int {
	return int(xxhash.Sum64String(key) % partCount)
}

// checksums tells apart what two instances have of a feed: for each part the sum, bit by bit
// without carry, of a hash of the key and the offset of each record that has a value.
// Ends of keys do not count: not all instances know of those that lie far back. The
// zero value is that of an empty feed.
type checksums [partCount]uint64

// toggle adds a record, or takes one off that was added.
func (s *checksums) toggle(r Record) {
	if len(r.Value) == 0 {
		return
	}
	s[partOf(r.Key)] ^= hashOf(r)
}

// hashOf returns the hash of a record's key and offset.
func hashOf(r Record) uint64 {
	data := binary.BigEndian.AppendUint64(nil, uint64(r.Offset))
	return xxhash.Sum64(append(data, r.Key...))
}

// differ returns the parts that differ from what another instance has, which are all
// when it does not say what it has.
func (s *checksums) differ(other []uint64) parts {
	if len(other) != partCount {
		return allParts
	}
	var out parts
	for i, v := range s {
		if v != other[i] {
			out |= 1 << i
		}
	}
	return out
}
