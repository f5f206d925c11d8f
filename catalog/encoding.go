// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/catalog/catalogpb"
	"github.com/linkmast/linkmast/internal/zdelta"
)

// decode unpacks records.
func (c *Catalog) decode(f Feed, in []*catalogpb.Record) ([]Record, error) {
	out := make([]Record, 0, len(in))
	for _, m := range in {
		r := Record{
			Key:    m.GetKey(),
			Value:  m.GetValue(),
			Offset: m.GetOffset(),
		}
		if m.GetPacked() {
			base, err := c.base(f, m)
			if err != nil {
				return nil, err
			}
			if r.Value, err = zdelta.Unpack(m.GetValue(), base); err != nil {
				return nil, err
			}
		}
		out = append(out, r)
	}
	return out, nil
}

// errBase ends following when a change refers to a record that is not known; all
// records come with the next stream.
var errBase = errors.New("a change builds on an unknown record")

// base returns the value that a packed record builds on.
func (c *Catalog) base(f Feed, m *catalogpb.Record) ([]byte, error) {
	if m.GetBase() < 0 {
		return nil, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.records[f][m.GetKey()]
	if !ok || r.Offset != m.GetBase() {
		return nil, errBase
	}
	return r.Value, nil
}

// configurationOffset returns the offset of the configuration that is known, or
// noOffset.
func (c *Catalog) configurationOffset() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.records[Configurations] {
		return r.Offset
	}
	return noOffset
}

// noOffset stands for no record.
const noOffset = -1

// encode makes the message of one change.
func (e *entry) encode() (*catalogpb.Update, error) {
	if e.packed == nil {
		return encodeRecords(e.feed, []Record{e.record}, e.record.Offset+1, false)
	}
	data, err := e.packed.bytes()
	if err != nil {
		return nil, err
	}
	return update(e.feed, e.record.Offset+1, false, []*catalogpb.Record{{
		Key:    e.record.Key,
		Value:  data,
		Offset: e.record.Offset,
		Packed: true,
		Base:   e.packed.base.Offset,
	}}), nil
}

// encodeRecords makes the message of whole records; long values are packed.
func encodeRecords(f Feed, records []Record, next int64, whole bool) (*catalogpb.Update, error) {
	out := make([]*catalogpb.Record, 0, len(records))
	for _, r := range records {
		m := &catalogpb.Record{
			Key:    r.Key,
			Value:  r.Value,
			Offset: r.Offset,
			Base:   noOffset,
		}
		if len(r.Value) >= packedFrom {
			data, err := zdelta.Pack(r.Value, nil)
			if err != nil {
				return nil, err
			}
			m.Value, m.Packed = data, true
		}
		out = append(out, m)
	}
	return update(f, next, whole, out), nil
}

// update makes a message of records. With whole set they are all there is of the
// feed before next.
func update(f Feed, next int64, whole bool, records []*catalogpb.Record) *catalogpb.Update {
	return &catalogpb.Update{
		Kind: &catalogpb.Update_Records{
			Records: &catalogpb.Records{
				Feed:    int32(f),
				Whole:   whole,
				Next:    next,
				Records: records,
			},
		},
	}
}
