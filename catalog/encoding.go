// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/catalog/catalogpb"
	"github.com/linkmast/linkmast/internal/zdelta"
)

// noOffset stands for no record.
const noOffset = -1

// decode unpacks records.
func (c *Catalog) decode(f Feed, in []*catalogpb.Record) ([]Record, error) {
	out := make([]Record, 0, len(in))
	last := make(map[string]Record)
	for _, m := range in {
		r := Record{
			Key:    m.GetKey(),
			Value:  m.GetValue(),
			Offset: m.GetOffset(),
		}
		if m.GetPacked() {
			base, err := c.base(f, m, last)
			if err != nil {
				return nil, err
			}
			if r.Value, err = zdelta.Unpack(m.GetValue(), base); err != nil {
				return nil, err
			}
			last[r.Key] = r
		}
		out = append(out, r)
	}
	return out, nil
}

// errUnknownBase ends following when a change refers to a record that is not known; what is
// lacking comes with the next stream.
var errUnknownBase = errors.New("a change builds on an unknown record")

// base returns the value that a packed record builds on: that of a record before it in
// the message, by key, or of one that is known.
func (c *Catalog) base(f Feed, m *catalogpb.Record, before map[string]Record) ([]byte, error) {
	if m.GetBase() < 0 {
		return nil, nil
	}
	r, ok := before[m.GetKey()]
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

// sameFeed returns how many changes at the start are of one feed.
func sameFeed(entries []entry) int {
	for i, e := range entries {
		if e.feed != entries[0].feed {
			return i
		}
	}
	return len(entries)
}

// encodeChanges makes the message of changes of one feed, one at least.
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

// update makes a message of records, which are all there is before next of some parts
// of the feed.
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
