// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package node_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/linkmast/linkmast/fleet"
	"github.com/linkmast/linkmast/limit/limitpb"
	"github.com/linkmast/linkmast/member/memberpb"
	"github.com/linkmast/linkmast/owner/ownerpb"
	"github.com/linkmast/linkmast/rollout/rolloutpb"
)

// countingConn is a connection that counts its bytes in both directions. n is their sum.
type countingConn struct {
	net.Conn

	n *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.Add(int64(n))
	return n, err
}

// dialCounted returns a gRPC connection to a node, and the counter of its bytes in both directions.
func dialCounted(b *testing.B, address string) (*grpc.ClientConn, *atomic.Int64) {
	b.Helper()
	n := new(atomic.Int64)
	c, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, a string) (net.Conn, error) {
			var d net.Dialer
			conn, err := d.DialContext(ctx, "tcp", a)
			if err != nil {
				return nil, err
			}
			return &countingConn{
				Conn: conn,
				n:    n,
			}, nil
		}))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { c.Close() })
	return c, n
}

// BenchmarkMessage reports the bytes on the wire of several kinds of calls between nodes, in both
// directions and with HTTP/2 framing.
func BenchmarkMessage(b *testing.B) {
	f := startFleet(b, fleet.Settings{
		Nodes:   1,
		Engines: 4,
	})
	c, n := dialCounted(b, f.Nodes[0].PeerListen)
	ctx := context.Background()
	leases := 0
	for _, m := range []struct {
		name string
		call func() error
	}{
		{"probe", func() error {
			_, err := memberpb.NewMemberClient(c).Probe(ctx, &memberpb.ProbeRequest{
				From: "node-1234",
			})
			return err
		}},
		{"pull without change", func() error {
			_, err := rolloutpb.NewRolloutClient(c).Pull(ctx, &rolloutpb.PullRequest{
				Generation: f.Nodes[0].Generation(),
				Sha256:     make([]byte, 32),
			})
			return err
		}},
		{"borrow", func() error {
			_, err := limitpb.NewLenderClient(c).Borrow(ctx, &limitpb.BorrowRequest{
				Customer: "desk",
				Borrower: "node-1234",
				Starts:   3,
				Running:  9,
			})
			return err
		}},
		{"held", func() error {
			_, err := ownerpb.NewHolderClient(c).Held(ctx, &ownerpb.HeldRequest{
				Attempts: []string{"1q2w3e4r5t6y7-1a2b.1"},
			})
			return err
		}},
		{"acquire and release", func() error {
			leases++
			return lease(ctx, c, leases)
		}},
	} {
		b.Run(m.name, func(b *testing.B) {
			if err := m.call(); err != nil {
				b.Fatal(err)
			}
			before := n.Load()
			calls := 0
			for b.Loop() {
				if err := m.call(); err != nil {
					b.Fatal(err)
				}
				calls++
			}
			b.ReportMetric(float64(n.Load()-before)/float64(calls), "wire-bytes/op")
		})
	}
}

// lease acquires a lease over a connection and releases it.
func lease(ctx context.Context, c *grpc.ClientConn, number int) error {
	attempt := fmt.Sprintf("1q2w3e4r5t6y7-%x.1", number)
	stream, err := ownerpb.NewOwnerClient(c).Acquire(ctx, &ownerpb.AcquireRequest{
		Attempt:      attempt,
		Holder:       "n1",
		Endpoint:     "e1",
		Customer:     "customer-17",
		Rank:         1,
		MaxWaitMs:    20_000,
		PromptTokens: 2_000,
		OutputTokens: 200,
		Bytes:        2_200 << 10,
		Prefix:       1 << 60,
		DeadlineMs:   30_000,
	})
	if err != nil {
		return err
	}
	for {
		u, err := stream.Recv()
		if err != nil {
			return err
		}
		if u.GetGranted() != nil {
			break
		}
		if r := u.GetRefused(); r != nil {
			return fmt.Errorf("refused: %s", r.Code)
		}
	}
	_, err = ownerpb.NewOwnerClient(c).Release(ctx, &ownerpb.ReleaseRequest{
		Attempt:  attempt,
		Endpoint: "e1",
		Outcome:  "done",
		StepUs:   20_000,
	})
	return err
}
