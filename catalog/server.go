// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"sync"

	"google.golang.org/grpc"

	"github.com/linkmast/linkmast/catalog/catalogpb"
	"github.com/linkmast/linkmast/internal/zdelta"
)

// Server hands on what a Catalog knows to other instances.
type Server struct {
	catalogpb.UnimplementedCatalogServer

	catalog *Catalog
	// closing ends all streams.
	closing <-chan struct{}
}

// NewServer returns a server. Streams end when closing is closed.
func NewServer(c *Catalog, closing <-chan struct{}) *Server {
	return &Server{
		catalog: c,
		closing: closing,
	}
}

// Follow implements catalogpb.CatalogServer.
func (s *Server) Follow(stream grpc.BidiStreamingServer[catalogpb.Ping, catalogpb.Update]) error {
	s.catalog.followers.Add(1)
	defer s.catalog.followers.Add(-1)
	f := &follower{
		catalog: s.catalog,
		stream:  stream,
	}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	at, changed, err := f.sendAll(first.GetHas())
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- f.answerPings(first) }()
	for err == nil {
		select {
		case err = <-done:
			return err
		case <-s.closing:
			return nil
		case <-changed:
			at, changed, err = f.sendFrom(at)
		}
	}
	return err
}

// follower is an instance that follows this one.
type follower struct {
	catalog *Catalog
	stream  grpc.BidiStreamingServer[catalogpb.Ping, catalogpb.Update]
	// sending guards the stream, which takes one message at a time.
	sending sync.Mutex
}

func (f *follower) send(u *catalogpb.Update) error {
	f.sending.Lock()
	defer f.sending.Unlock()
	return f.stream.Send(u)
}

// answerPings tells the age for each ping.
func (f *follower) answerPings(p *catalogpb.Ping) error {
	for {
		age, known := f.catalog.Age()
		answered, heard := f.catalog.answered()
		err := f.send(&catalogpb.Update{
			Kind: &catalogpb.Update_Age{
				Age: &catalogpb.Age{
					Seq:   p.GetSeq(),
					AgeUs: age.Microseconds(),
					Known: known && heard,

					AnsweredUs: answered.Microseconds(),
				},
			},
		})
		if err != nil {
			return err
		}
		if p, err = f.stream.Recv(); err != nil {
			return err
		}
	}
}

// sendAll sends all records but the configuration at the offset that the
// follower has. It returns the number of the next change and what is closed at
// it.
func (f *follower) sendAll(has int64) (int64, <-chan struct{}, error) {
	c := f.catalog
	c.mu.Lock()
	at, changed := c.journal.end(), c.changed
	type part struct {
		feed    Feed
		next    int64
		records []Record
	}
	parts := make([]part, 0, len(feeds))
	for _, feed := range feeds {
		next, known := c.next[feed]
		if !known {
			continue
		}
		all := make([]Record, 0, len(c.records[feed]))
		for _, r := range c.records[feed] {
			if feed != Configurations || r.Offset != has {
				all = append(all, r)
			}
		}
		parts = append(parts, part{
			feed:    feed,
			next:    next,
			records: all,
		})
	}
	c.mu.Unlock()
	for _, p := range parts {
		u, err := encodeRecords(p.feed, p.records, p.next, true)
		if err != nil {
			return 0, nil, err
		}
		if err := f.send(u); err != nil {
			return 0, nil, err
		}
	}
	return at, changed, nil
}

// sendFrom sends the changes from a number on.
func (f *follower) sendFrom(at int64) (int64, <-chan struct{}, error) {
	c := f.catalog
	c.mu.Lock()
	entries, kept := c.journal.from(at)
	entries = append([]entry(nil), entries...)
	end, changed := c.journal.end(), c.changed
	c.mu.Unlock()
	if !kept {
		return f.sendAll(noOffset)
	}
	for _, e := range entries {
		u, err := e.encode()
		if err != nil {
			return 0, nil, err
		}
		if err := f.send(u); err != nil {
			return 0, nil, err
		}
	}
	return end, changed, nil
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
