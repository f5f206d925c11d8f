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

// served returns a client of an owner with one engine.
func served(t *testing.T) poolpb.PoolClient {
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

// says opens a session of an entry and says its name there; it returns once the owner has heard
// it.
func says(t *testing.T, c poolpb.PoolClient, entry string, wait bool) fromOwner {
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

// TestLateHello has an owner hear of an older session of an entry after the newer one, as it does
// when it wakes from a freeze in which the entry tried again and again.
//
// What users saw: after a freeze of the owner all requests at one instance waited out their time in
// vain, "no place in time", for as long as the session stood; those at others were served. The
// order of events: the owner wakes and takes up two sessions of the entry at once; the one that the
// entry had given up says its name last; the other one is taken for over, keeps answering pings, and
// each place that it asks for is given and given back without a word. The evidence: the owner's
// lines have a place for each of those attempts, at the moment at which the entry asked, and two
// ends of sessions of the entry within 1 ms.
func TestLateHello(t *testing.T) {
	for _, row := range []struct {
		name string
		// gone states that the entry has given the older session up.
		gone bool
	}{
		{"the older one is there still", false},
		{"the older one was given up", true},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			c := served(t)
			live := says(t, c, "n1", true)
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
			assertServed(t, c, live)
		})
	}
}

// assertServed asks for a place over a session. It is answered, or the session ends at once, so
// that the entry opens another one, which is answered.
func assertServed(t *testing.T, c poolpb.PoolClient, session fromOwner) {
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
			m, err := within(t, session)
			if err == nil {
				is.Equal(m.GetGrant().GetId(), "a")
				return
			}
		}
		session = says(t, c, "n1", true)
	}
	t.Fatal("the entry's sessions end again and again")
}

// within returns the next message of an owner. It must come within a second.
func within(t *testing.T, session fromOwner) (*poolpb.FromOwner, error) {
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
		t.Fatal("no answer, and the session stands")
		return nil, nil
	}
}
