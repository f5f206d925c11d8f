// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// partCount is the number of parts into which the keys of a feed are hashed. More parts make
// the checksums of a follower larger, but fewer unchanged records are sent again with a changed
// one. With 64 parts the checksums of a feed take 512 bytes, and with 300 keys a changed record brings
// four others along.
const partCount = 64

// parts is a set of parts of a feed, one bit each.
type parts uint64

// allParts contains all parts.
const allParts = ^parts(0)

// has reports whether the part of a key is in the set.
func (p parts) has(key string) bool {
	return p.contains(partOf(key))
}

// contains reports whether a part is in the set.
func (p parts) contains(part int) bool {
	return p&(1<<part) != 0
}

// partOf returns the part to which a key belongs.
func partOf(key string) int {
	return int(xxhash.Sum64String(key) % partCount)
}

// checksums has, for each part of a feed, the XOR of the hashes of its records, so that two
// instances can compare what they have. Deletions are not included, because not all instances
// know the old ones. The zero value is that of an empty feed.
type checksums [partCount]uint64

// toggle adds a record, or removes one that was added before. It ignores deletions.
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

// differ returns the parts whose checksums differ from those of another instance, or all parts
// if that instance did not send one for each part.
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
