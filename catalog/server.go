// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"context"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

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
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	c := s.catalog
	defer c.followers.leave(first.GetId())
	if !c.followers.enter(first.GetId(), c.topology.Load().followerLimit) {
		return status.Error(codes.ResourceExhausted, "has enough followers")
	}
	if !c.admits(stream.Context(), first, s.closing) {
		return status.Error(codes.FailedPrecondition, "knows too little")
	}
	f := &followerStream{
		catalog: c,
		stream:  stream,
		pings:   make(chan *catalogpb.Ping),
		failed:  make(chan error, 1),
	}
	go f.receive(stream.Context())
	return f.serve(first, s.closing)
}

// admits states whether somebody can follow this instance, at once or within the moment
// that a patient one waits. One that starts in an outage of the store knows no
// configuration; it is told what there is.
func (c *Catalog) admits(ctx context.Context, first *catalogpb.Ping, closing <-chan struct{}) bool {
	helps := first.GetHas() == noOffset && c.Snapshot() != nil
	if helps || c.followable() {
		return true
	}
	return first.GetPatient() && c.awaitFollowable(ctx, closing)
}

// followerStream is an instance that follows this one. One goroutine sends to it.
type followerStream struct {
	catalog *Catalog
	stream  grpc.BidiStreamingServer[catalogpb.Ping, catalogpb.Update]
	pings   chan *catalogpb.Ping
	failed  chan error
	// at is the number of the next change that it gets.
	at int64
}

// receive hands on the follower's pings until the stream ends.
func (f *followerStream) receive(ctx context.Context) {
	for {
		p, err := f.stream.Recv()
		if err != nil {
			f.failed <- err
			return
		}
		select {
		case f.pings <- p:
		case <-ctx.Done():
			return
		}
	}
}

// serve sends what the follower lacks, each change, and an age for each ping.
func (f *followerStream) serve(first *catalogpb.Ping, closing <-chan struct{}) error {
	if err := f.sendMissing(first); err != nil {
		return err
	}
	if err := f.answer(first); err != nil {
		return err
	}
	for {
		changed := f.catalog.Changed()
		if err := f.sendChanges(); err != nil {
			return err
		}
		select {
		case err := <-f.failed:
			return err
		case <-closing:
			return nil
		case p := <-f.pings:
			if err := f.answer(p); err != nil {
				return err
			}
		case <-changed:
		}
	}
}

// answer tells the age. All changes that it covers go first, so that the follower
// never takes an older configuration for one that was confirmed.
func (f *followerStream) answer(p *catalogpb.Ping) error {
	c := f.catalog
	age, known := c.Age()
	now := c.freshness()
	if err := f.sendChanges(); err != nil {
		return err
	}
	return f.stream.Send(&catalogpb.Update{
		Kind: &catalogpb.Update_Age{
			Age: &catalogpb.Age{
				Seq:        p.GetSeq(),
				AgeUs:      age.Microseconds(),
				Known:      known,
				AnsweredUs: now.answered.Microseconds(),
				Root:       now.root,
				Hops:       int32(now.hops),
			},
		},
	})
}

// sendMissing sends what the follower lacks, as it says in its first ping. The changes
// from then on come after it.
func (f *followerStream) sendMissing(first *catalogpb.Ping) error {
	c := f.catalog
	c.mu.Lock()
	f.at = c.journal.end()
	lacks := c.missingFor(first)
	c.mu.Unlock()
	for _, l := range lacks {
		u, err := l.encode()
		if err != nil {
			return err
		}
		if err := f.stream.Send(u); err != nil {
			return err
		}
	}
	return nil
}

// sendChanges sends the changes that the follower has not got; all records when those
// are no longer kept.
func (f *followerStream) sendChanges() error {
	c := f.catalog
	c.mu.Lock()
	entries, kept := c.journal.from(f.at)
	entries = append([]entry(nil), entries...)
	c.mu.Unlock()
	if !kept {
		return f.sendMissing(&catalogpb.Ping{
			Has: noOffset,
		})
	}
	for len(entries) > 0 {
		n := sameFeed(entries)
		u, err := encodeChanges(entries[:n])
		if err != nil {
			return err
		}
		if err := f.stream.Send(u); err != nil {
			return err
		}
		f.at += int64(n)
		entries = entries[n:]
	}
	return nil
}

// Introduce implements catalogpb.CatalogServer.
func (s *Server) Introduce(_ context.Context, in *catalogpb.Introducing) (*catalogpb.Introduced, error) {
	return &catalogpb.Introduced{
		Known: !s.catalog.adoptPeers(peersOf(in.GetKnown()), int(in.GetTotal()), "introduction", ownEntryCheckInterval),
	}, nil
}

// Join implements catalogpb.CatalogServer.
func (s *Server) Join(ctx context.Context, in *catalogpb.JoinRequest) (*catalogpb.JoinReply, error) {
	c := s.catalog
	started := peersOf(in.GetStarted())
	if slices.ContainsFunc(started, func(p Peer) bool { return p.ID == "" || p.Address == "" }) {
		// Entries are written together: one that can't be would keep the others out.
		return nil, status.Error(codes.InvalidArgument, "an instance without a name or an address")
	}
	c.pending.add(slices.DeleteFunc(slices.Clone(started), c.entryStored)...)
	if in.GetWait() {
		c.awaitJoined(ctx, s.closing)
	}
	if len(started) == 0 || !c.joined.Load() {
		return &catalogpb.JoinReply{}, nil
	}
	r := c.topology.Load()
	collects := slices.Contains(c.settings.Seeds, started[0].Address)
	return &catalogpb.JoinReply{
		Known: introductions(r.bootstrapPeers(started[0], collects)),
		Total: int64(r.total),
	}, nil
}

// awaitJoined waits until it is known who is there, for joinHold at most.
func (c *Catalog) awaitJoined(ctx context.Context, closing <-chan struct{}) {
	timeout := time.NewTimer(joinHold)
	defer timeout.Stop()
	select {
	case <-c.joinedCh:
	case <-timeout.C:
	case <-closing:
	case <-ctx.Done():
	}
}
