// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"sync"

	"google.golang.org/grpc"

	"github.com/linkmast/linkmast/catalog/catalogpb"
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
	done := make(chan error, 1)
	go func() { done <- f.answerPings() }()
	at, changed, err := f.sendAll()
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
func (f *follower) answerPings() error {
	for {
		p, err := f.stream.Recv()
		if err != nil {
			return err
		}
		age, known := f.catalog.Age()
		answered, heard := f.catalog.answered()
		err = f.send(&catalogpb.Update{
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
	}
}

// sendAll sends all records. It returns the number of the next change and what
// is closed at it.
func (f *follower) sendAll() (int64, <-chan struct{}, error) {
	c := f.catalog
	c.mu.Lock()
	at, changed := c.journal.end(), c.changed
	updates := make([]*catalogpb.Update, 0, len(feeds))
	for _, feed := range feeds {
		next, known := c.next[feed]
		if !known {
			continue
		}
		all := make([]Record, 0, len(c.records[feed]))
		for _, r := range c.records[feed] {
			all = append(all, r)
		}
		updates = append(updates, encodeRecords(feed, all, next, true))
	}
	c.mu.Unlock()
	for _, u := range updates {
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
		return f.sendAll()
	}
	for _, e := range entries {
		u := encodeRecords(e.feed, []Record{e.record}, e.record.Offset+1, false)
		if err := f.send(u); err != nil {
			return 0, nil, err
		}
	}
	return end, changed, nil
}

func encodeRecords(f Feed, records []Record, next int64, whole bool) *catalogpb.Update {
	m := &catalogpb.Records{
		Feed:  int32(f),
		Whole: whole,
		Next:  next,
	}
	for _, r := range records {
		m.Records = append(m.Records, &catalogpb.Record{
			Key:    r.Key,
			Value:  r.Value,
			Offset: r.Offset,
		})
	}
	return &catalogpb.Update{
		Kind: &catalogpb.Update_Records{
			Records: m,
		},
	}
}
