// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package owner

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"google.golang.org/grpc"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/internal/steady/steadytest"
	"github.com/linkmast/linkmast/owner/ownerpb"
	"github.com/linkmast/linkmast/policy"
)

// delayedGrants is a client of an owner that grants each request after a wait.
type delayedGrants struct {
	ownerpb.OwnerClient
	grpc.ServerStreamingClient[ownerpb.AcquireUpdate]

	wait func()
}

// Acquire implements ownerpb.OwnerClient.
func (g *delayedGrants) Acquire(context.Context, *ownerpb.AcquireRequest, ...grpc.CallOption) (grpc.ServerStreamingClient[ownerpb.AcquireUpdate], error) {
	return g, nil
}

// Recv implements grpc.ServerStreamingClient.
func (g *delayedGrants) Recv() (*ownerpb.AcquireUpdate, error) {
	g.wait()
	return update(Grant{
		Address:     "e1:1",
		StartWithin: 2 * time.Second,
	}, nil), nil
}

// TestGrantLapsesDuringSuspension guards against the use of a grant that may have expired while the
// host was suspended.
func TestGrantLapsesDuringSuspension(t *testing.T) {
	for _, row := range []struct {
		name      string
		suspended time.Duration
		granted   bool
	}{
		{"not suspended", 0, true},
		{"suspended for less than the heartbeat timeout", time.Second, true},
		{"suspended for longer", 2 * time.Second, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := steadytest.New(t)
			is := is.New(t)
			c := &Client{
				rpc: &delayedGrants{
					wait: func() { m.Suspend(row.suspended) },
				},
			}
			_, err := c.Acquire(t.Context(), Request{
				Work: policy.Work{
					Deadline: steady.Now().Add(time.Minute),
				},
			}, nil)
			is.Equal(err == nil, row.granted)
			if row.granted {
				return
			}
			var r *Refusal
			is.True(errors.As(err, &r))
			is.Equal(r.Code, RefusedSilent)
		})
	}
}
