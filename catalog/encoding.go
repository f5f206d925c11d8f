// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/catalog/catalogpb"
	"github.com/linkmast/linkmast/internal/zdelta"
)

// noOffset is the offset of a record that does not exist.
const noOffset = -1

// decode converts the records of a message and decompresses their values.
func (c *Catalog) decode(f Feed, in []*catalogpb.Record) ([]Record, error) {
	out := make([]Record, 0, len(in))
	seen := make(map[string]Record)
	for _, m := range in {
		r := Record{
			Key:    m.GetKey(),
			Value:  m.GetValue(),
			Offset: m.GetOffset(),
		}
		if m.GetPacked() {
			base, err := c.base(f, m, seen)
			if err != nil {
				return nil, err
			}
			if r.Value, err = zdelta.Unpack(m.GetValue(), base); err != nil {
				return nil, err
			}
			seen[r.Key] = r
		}
		out = append(out, r)
	}
	return out, nil
}

// errUnknownBase is the error for a value that was compressed with a record that this instance
// does not have. It ends the stream; the next one starts with the missing records.
var errUnknownBase = errors.New("value compressed with an unknown record")

// base returns the value that serves as the dictionary of a compressed record: that of an
// earlier compressed record in the same message, or of a stored one. It returns nil for a
// record that was compressed without a dictionary.
func (c *Catalog) base(f Feed, m *catalogpb.Record, seen map[string]Record) ([]byte, error) {
	if m.GetBase() < 0 {
		return nil, nil
	}
	r, ok := seen[m.GetKey()]
	if !ok {
		c.mu.Lock()
		r, ok = c.records[f][m.GetKey()]
		c.mu.Unlock()
	}
	if !ok || r.Offset != m.GetBase() {
		return nil, errUnknownBase
	}
	return r.Value, nil
}

// sameFeed returns the length of the longest prefix of entries that belongs to one feed.
func sameFeed(entries []entry) int {
	for i, e := range entries {
		if e.feed != entries[0].feed {
			return i
		}
	}
	return len(entries)
}

// encodeChanges returns a message with the changes in entries, which must not be empty and must all
// belong to the same feed.
func encodeChanges(entries []entry) (*catalogpb.Update, error) {
	out := make([]*catalogpb.Record, 0, len(entries))
	next := int64(0)
	for _, e := range entries {
		m, err := e.encode()
		if err != nil {
			return nil, err
		}
		out = append(out, m)
		next = max(next, m.GetOffset()+1)
	}
	return update(entries[0].feed, next, 0, out), nil
}

// update returns a message with records. For the parts in whole, these must be all records
// before the offset next.
func update(f Feed, next int64, whole parts, records []*catalogpb.Record) *catalogpb.Update {
	return &catalogpb.Update{
		Kind: &catalogpb.Update_Records{
			Records: &catalogpb.Records{
				Feed:    int32(f),
				Whole:   whole == allParts,
				Next:    next,
				Records: records,
				Parts:   uint64(whole),
			},
		},
	}
}
