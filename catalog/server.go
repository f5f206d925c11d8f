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

// send sends the follower a message.
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
					Seq:        p.GetSeq(),
					AgeUs:      age.Microseconds(),
					Known:      known && heard,
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
	parts := c.whole(has)
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

// wholeFeed is all that is known of a feed.
type wholeFeed struct {
	feed    Feed
	next    int64
	records []Record
}

// whole returns the feeds that are known, without the configuration at an offset.
// The caller holds the lock.
func (c *Catalog) whole(has int64) []wholeFeed {
	out := make([]wholeFeed, 0, len(feeds))
	for _, f := range feeds {
		next, known := c.next[f]
		if !known {
			continue
		}
		all := make([]Record, 0, len(c.records[f]))
		for _, r := range c.records[f] {
			if f != Configurations || r.Offset != has {
				all = append(all, r)
			}
		}
		out = append(out, wholeFeed{
			feed:    f,
			next:    next,
			records: all,
		})
	}
	return out
}

// sendFrom sends the changes from a number on; all records when those changes are
// no longer kept. It returns what sendAll returns.
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
