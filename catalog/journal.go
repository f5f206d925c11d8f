// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

// journalLength is how many changes followers may be behind before they get all
// records anew.
const journalLength = 4096

// entry is a record that took effect.
type entry struct {
	feed   Feed
	record Record
}

// journal is the latest changes in order.
type journal struct {
	entries []entry
	// first is the number of the first entry that is kept.
	first int64
}

func (j *journal) add(f Feed, r Record) {
	j.entries = append(j.entries, entry{
		feed:   f,
		record: r,
	})
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
