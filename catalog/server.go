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

// Server serves the data of a Catalog to the instances that follow or join.
type Server struct {
	catalogpb.UnimplementedCatalogServer

	catalog *Catalog
	// closing ends all streams when it is closed.
	closing <-chan struct{}
}

// NewServer returns a server, whose streams end when closing is closed.
func NewServer(c *Catalog, closing <-chan struct{}) *Server {
	return &Server{
		catalog: c,
		closing: closing,
	}
}

// Follow implements catalogpb.CatalogServer. It rejects a follower if the limit of followers is
// reached or admits returns false.
func (s *Server) Follow(stream grpc.BidiStreamingServer[catalogpb.Ping, catalogpb.Update]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	c := s.catalog
	defer c.followers.leave(first.GetId())
	if !c.followers.enter(first.GetId(), c.topology.Load().followerLimit) {
		return status.Error(codes.ResourceExhausted, "limit of followers reached")
	}
	if !c.admits(stream.Context(), first, s.closing) {
		return status.Error(codes.FailedPrecondition, "configuration is missing or data is stale")
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

// admits reports whether the sender of the first ping can follow this instance, either at once
// or, if it is patient, after a short wait. A follower without a configuration is admitted even
// if the data is stale, so that it can start during an outage of the store.
func (c *Catalog) admits(ctx context.Context, first *catalogpb.Ping, closing <-chan struct{}) bool {
	bootstraps := first.GetHas() == noOffset && c.Snapshot() != nil
	if bootstraps || c.followable() {
		return true
	}
	return first.GetPatient() && c.awaitFollowable(ctx, closing)
}

// followerStream is the serving side of a follower's stream. Only one goroutine sends to it.
type followerStream struct {
	catalog *Catalog
	stream  grpc.BidiStreamingServer[catalogpb.Ping, catalogpb.Update]
	pings   chan *catalogpb.Ping
	failed  chan error
	// at is the number of the next journal entry to send.
	at int64
}

// receive passes the follower's pings to serve until the stream ends.
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

// serve sends the records that the follower lacks, then each change, and an age for each ping.
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
		case <-f.stream.Context().Done():
			// A ping that was waiting for this loop hides the end from receive.
			return f.stream.Context().Err()
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

// answer sends the age of the configuration. All changes that the age covers are sent before
// it, so that the follower never regards an older configuration as confirmed.
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

// sendMissing sends the records that the follower lacks according to its first ping. Later
// changes are sent by sendChanges.
func (f *followerStream) sendMissing(first *catalogpb.Ping) error {
	c := f.catalog
	c.mu.Lock()
	f.at = c.journal.end()
	missing := c.missingFor(first)
	c.mu.Unlock()
	for _, l := range missing {
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

// sendChanges sends the changes since the last call, or all records if the journal no longer
// contains them.
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

// Introduce implements catalogpb.CatalogServer. It passes the list of instances to adoptPeers.
func (s *Server) Introduce(_ context.Context, in *catalogpb.Introducing) (*catalogpb.Introduced, error) {
	return &catalogpb.Introduced{
		Known: !s.catalog.adoptPeers(peersOf(in.GetKnown()), int(in.GetTotal()), "introduction", ownEntryCheckInterval),
	}, nil
}

// Join implements catalogpb.CatalogServer. It adds the started instances to the pending entries
// and returns instances that the first of them can follow.
func (s *Server) Join(ctx context.Context, in *catalogpb.JoinRequest) (*catalogpb.JoinReply, error) {
	c := s.catalog
	started := peersOf(in.GetStarted())
	if slices.ContainsFunc(started, func(p Peer) bool { return p.ID == "" || p.Address == "" }) {
		// All entries are written in one call, which fails if one of them is invalid.
		return nil, status.Error(codes.InvalidArgument, "instance entry without an ID or an address")
	}
	c.pending.add(slices.DeleteFunc(slices.Clone(started), c.entryStored)...)
	if in.GetWait() {
		c.awaitJoined(ctx, s.closing)
	}
	if len(started) == 0 || !c.joined.Load() {
		return &catalogpb.JoinReply{}, nil
	}
	r := c.topology.Load()
	seed := slices.Contains(c.settings.Seeds, started[0].Address)
	return &catalogpb.JoinReply{
		Known: introductions(r.bootstrapPeers(started[0], seed)),
		Total: int64(r.total),
	}, nil
}

// awaitJoined waits up to joinHold until this instance has joined.
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
