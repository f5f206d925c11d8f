// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"context"

	"google.golang.org/grpc"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/quarantine/quarantinepb"
)

// Server serves a registry to other instances.
type Server struct {
	quarantinepb.UnimplementedQuarantineServer

	registry *Registry
}

// NewServer returns the server for a registry.
func NewServer(registry *Registry) *Server {
	return &Server{
		registry: registry,
	}
}

// Report implements quarantinepb.QuarantineServer.
func (s *Server) Report(_ context.Context, in *quarantinepb.Crashed) (*quarantinepb.Taken, error) {
	s.registry.ReportCrash(DecodeCrash(in, s.registry.now()))
	return &quarantinepb.Taken{}, nil
}

// Tell implements quarantinepb.QuarantineServer.
func (s *Server) Tell(_ context.Context, in *quarantinepb.Verdict) (*quarantinepb.Taken, error) {
	s.registry.ApplyVerdict(DecodeVerdict(in, steady.Now()))
	return &quarantinepb.Taken{}, nil
}

// SendCrash sends a crash over a connection to another instance.
func SendCrash(ctx context.Context, conn grpc.ClientConnInterface, m *quarantinepb.Crashed) error {
	_, err := quarantinepb.NewQuarantineClient(conn).Report(ctx, m)
	return err
}

// SendVerdict sends a verdict over a connection to another instance.
func SendVerdict(ctx context.Context, conn grpc.ClientConnInterface, v Verdict) error {
	_, err := quarantinepb.NewQuarantineClient(conn).Tell(ctx, EncodeVerdict(v, steady.Now()))
	return err
}
