// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/pool/poolpb"
	"github.com/linkmast/linkmast/route"
)

// ownerClient returns a client of an owner that has one engine.
func ownerClient(t *testing.T) poolpb.PoolClient {
	t.Helper()
	s := NewScheduler(Settings{
		Self: "owner",
	}, logr.Discard())
	s.Update(&catalog.Snapshot{
		Table: route.New(1, nil, []route.Service{{
			Name: "engines",
			Engine: &batch.Model{
				Slots:            4,
				Capacity:         100_000,
				StepsPerPass:     10,
				Step:             time.Millisecond,
				PrefillPerSecond: 1e6,
			},
		}}, nil, false, route.Limits{}),
		Endpoints: map[string]catalog.Endpoint{
			"e1": {
				Instance: "e1",
				Service:  "engines",
				Address:  "e1:1",
				Slots:    4,
			},
		},
	})
	known, closing := make(chan struct{}), make(chan struct{})
	close(known)
	rpc := grpc.NewServer()
	poolpb.RegisterPoolServer(rpc, NewServer(s, known, closing))
	l := bufconn.Listen(1 << 16)
	go rpc.Serve(l)
	conn, err := grpc.NewClient("passthrough:///owner",
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return l.DialContext(ctx) }))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		conn.Close()
		rpc.Stop()
	})
	return poolpb.NewPoolClient(conn)
}

// openSession opens a session and sends Hello for an entry instance. If wait is set, it returns
// once the owner has handled Hello.
func openSession(t *testing.T, c poolpb.PoolClient, entry string, wait bool) entryStream {
	t.Helper()
	is := is.New(t)
	stream, err := c.Session(t.Context())
	is.NoErr(err)
	is.NoErr(stream.Send(&poolpb.FromEntry{
		Kind: &poolpb.FromEntry_Hello{
			Hello: &poolpb.Hello{
				Entry: entry,
			},
		},
	}))
	if wait {
		is.NoErr(stream.Send(pingMessage(greetingEnd)))
		_, err = stream.Recv()
		is.NoErr(err)
	}
	return stream
}

// TestLateHello guards against an owner that handles the Hello of an abandoned session after that
// of its successor, as may happen after a freeze. An owner that then took the live session for
// replaced would answer its pings, but drop its placement requests without a reply.
func TestLateHello(t *testing.T) {
	for _, row := range []struct {
		name string
		// gone is set if the entry instance has cancelled the older session.
		gone bool
	}{
		{"older session still open", false},
		{"older session cancelled", true},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			c := ownerClient(t)
			live := openSession(t, c, "n1", true)
			ctx, cancel := context.WithCancel(t.Context())
			older, err := c.Session(ctx)
			is.NoErr(err)
			is.NoErr(older.Send(&poolpb.FromEntry{
				Kind: &poolpb.FromEntry_Hello{
					Hello: &poolpb.Hello{
						Entry: "n1",
					},
				},
			}))
			if row.gone {
				cancel()
			}
			defer cancel()
			time.Sleep(50 * time.Millisecond)
			assertAnswered(t, c, live)
		})
	}
}

// assertAnswered checks that a placement request is answered over a session. If the session ends
// instead, the request must be answered over a new session, which an entry instance would open
// then.
func assertAnswered(t *testing.T, c poolpb.PoolClient, session entryStream) {
	t.Helper()
	is := is.New(t)
	a := PlacementRequest{
		ID:       "a",
		Service:  "engines",
		Prompt:   100,
		Target:   time.Second,
		Gap:      time.Second,
		Deadline: 10 * time.Second,
	}
	for range 2 {
		err := session.Send(&poolpb.FromEntry{
			Kind: &poolpb.FromEntry_Ask{
				Ask: encodePlacementRequest(&a),
			},
		})
		if err == nil {
			m, err := receiveWithin(t, session)
			if err == nil {
				is.Equal(m.GetGrant().GetId(), "a")
				return
			}
		}
		session = openSession(t, c, "n1", true)
	}
	t.Fatal("no session of the entry instance was answered")
}

// receiveWithin returns the next message of the owner, which must come within a second.
func receiveWithin(t *testing.T, session entryStream) (*poolpb.FromOwner, error) {
	t.Helper()
	type message struct {
		m   *poolpb.FromOwner
		err error
	}
	got := make(chan message, 1)
	go func() {
		m, err := session.Recv()
		got <- message{
			m:   m,
			err: err,
		}
	}()
	select {
	case one := <-got:
		return one.m, one.err
	case <-time.After(time.Second):
		t.Fatal("no answer within a second, and the session is still open")
		return nil, nil
	}
}
