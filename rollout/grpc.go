// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package rollout

import (
	"context"

	"github.com/linkmast/linkmast/rollout/rolloutpb"
)

// Server serves the pulls of other instances over gRPC.
type Server struct {
	rolloutpb.UnimplementedRolloutServer

	rollout *Rollout
}

// NewServer returns a server that answers with the configuration of r.
func NewServer(r *Rollout) *Server {
	return &Server{
		rollout: r,
	}
}

// Pull implements rolloutpb.RolloutServer.
func (s *Server) Pull(_ context.Context, in *rolloutpb.PullRequest) (*rolloutpb.PullReply, error) {
	return s.rollout.HandlePull(in)
}
