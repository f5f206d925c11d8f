// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"context"

	"google.golang.org/grpc"

	"github.com/linkmast/linkmast/quarantine/quarantinepb"
)

// Server takes what other instances report and tell.
type Server struct {
	quarantinepb.UnimplementedQuarantineServer

	registry *Registry
}

// NewServer returns the server of a book.
func NewServer(b *Registry) *Server {
	return &Server{
		registry: b,
	}
}

// Report implements quarantinepb.QuarantineServer.
func (s *Server) Report(_ context.Context, in *quarantinepb.Crashed) (*quarantinepb.Taken, error) {
	s.registry.ReportCrash(DecodeCrash(in, s.registry.now()))
	return &quarantinepb.Taken{}, nil
}

// Tell implements quarantinepb.QuarantineServer.
func (s *Server) Tell(_ context.Context, in *quarantinepb.Verdict) (*quarantinepb.Taken, error) {
	s.registry.ApplyVerdict(DecodeVerdict(in))
	return &quarantinepb.Taken{}, nil
}

// SendCrash reports a crash to the instance that a connection leads to.
func SendCrash(ctx context.Context, conn grpc.ClientConnInterface, m *quarantinepb.Crashed) error {
	_, err := quarantinepb.NewQuarantineClient(conn).Report(ctx, m)
	return err
}

// SendVerdict tells that instance of a verdict.
func SendVerdict(ctx context.Context, conn grpc.ClientConnInterface, v Verdict) error {
	_, err := quarantinepb.NewQuarantineClient(conn).Tell(ctx, EncodeVerdict(v))
	return err
}
