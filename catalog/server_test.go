// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/linkmast/linkmast/catalog/catalogpb"
)

// recordingStream records the messages to a follower. It implements only Send.
type recordingStream struct {
	grpc.BidiStreamingServer[catalogpb.Ping, catalogpb.Update]

	sent []*catalogpb.Update
}

// Send implements grpc.BidiStreamingServer.
func (s *recordingStream) Send(u *catalogpb.Update) error {
	s.sent = append(s.sent, u)
	return nil
}

// TestChangesBeforeAge checks that a change is sent before the age that covers it. Otherwise
// the follower would accept revoked keys as valid.
func TestChangesBeforeAge(t *testing.T) {
	is := is.New(t)
	c := New(Settings{}, plainStore{}, nil, logr.Discard())
	stream := &recordingStream{}
	f := &followerStream{
		catalog: c,
		stream:  stream,
	}
	c.apply(Configurations, []Record{record(0, 1)}, 2, allParts, fromStore)
	c.confirmByStore(time.Now())
	is.NoErr(f.answer(&catalogpb.Ping{
		Seq: 1,
	}))
	is.Equal(len(stream.sent), 2)
	is.Equal(stream.sent[0].GetRecords().GetRecords()[0].GetOffset(), int64(1))
	is.True(stream.sent[1].GetAge().GetKnown())
	// The change is not sent again.
	is.NoErr(f.answer(&catalogpb.Ping{
		Seq: 2,
	}))
	is.Equal(len(stream.sent), 3)
}

// endingStream is a follower's stream that ends while a message is being sent and a ping waits.
type endingStream struct {
	grpc.BidiStreamingServer[catalogpb.Ping, catalogpb.Update]

	ctx   context.Context
	pings chan *catalogpb.Ping
	// sent is closed when the message has been sent.
	sent chan struct{}
}

// Context implements grpc.ServerStream.
func (s *endingStream) Context() context.Context { return s.ctx }

// Recv implements grpc.BidiStreamingServer.
func (s *endingStream) Recv() (*catalogpb.Ping, error) {
	select {
	case p := <-s.pings:
		return p, nil
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

// Send implements grpc.BidiStreamingServer.
func (s *endingStream) Send(*catalogpb.Update) error {
	<-s.sent
	return nil
}

// TestStreamEndsDuringSend guards against a follower's stream that is served forever, because it ended
// while a ping was waiting for a message to be sent.
func TestStreamEndsDuringSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		stream := &endingStream{
			ctx:   ctx,
			pings: make(chan *catalogpb.Ping, 2),
			sent:  make(chan struct{}),
		}
		closing := make(chan struct{})
		server := NewServer(New(Settings{}, plainStore{}, nil, logr.Discard()), closing)
		server.catalog.apply(Configurations, []Record{record(0, 1)}, 2, allParts, fromStore)
		server.catalog.confirmByStore(time.Now())
		served := make(chan error, 1)
		go func() { served <- server.Follow(stream) }()
		stream.pings <- &catalogpb.Ping{
			Id: "f",
		}
		synctest.Wait()
		stream.pings <- &catalogpb.Ping{
			Seq: 1,
		}
		synctest.Wait()
		end()
		synctest.Wait()
		close(stream.sent)
		synctest.Wait()
		select {
		case err := <-served:
			is.New(t).True(err != nil)
		default:
			t.Error("the stream is still served")
			close(closing)
		}
	})
}

// TestFollowersLimit checks that followers above the limit are rejected, and that a follower
// may reconnect before its old stream has ended.
func TestFollowersLimit(t *testing.T) {
	is := is.New(t)
	var f followers
	is.True(f.enter("a", 2))
	is.True(f.enter("b", 2))
	is.True(!f.enter("c", 2))
	f.leave("c")
	is.True(f.enter("a", 2))
	is.Equal(f.count(), 2)
	f.leave("a")
	is.True(f.has("a"))
	f.leave("a")
	is.True(!f.has("a"))
	is.True(f.enter("c", 2))
}

// TestJoinWithoutName checks that an instance without an ID or address is rejected. Otherwise
// it would prevent the entries of others from being written.
func TestJoinWithoutName(t *testing.T) {
	for _, row := range []struct {
		name string
		in   *catalogpb.Introduction
	}{
		{"no name", &catalogpb.Introduction{Address: "10.0.0.1:1"}},
		{"no address", &catalogpb.Introduction{Id: "n1"}},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			c := New(Settings{}, plainStore{}, nil, logr.Discard())
			_, err := NewServer(c, nil).Join(t.Context(), &catalogpb.JoinRequest{
				Started: []*catalogpb.Introduction{{Id: "n0", Address: "10.0.0.2:1"}, row.in},
			})
			is.Equal(status.Code(err), codes.InvalidArgument)
			is.Equal(c.pending.count(), 0)
		})
	}
}
