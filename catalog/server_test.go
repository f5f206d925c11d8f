// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"testing"
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
