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

	book *Book
}

// NewServer returns the server of a book.
func NewServer(b *Book) *Server {
	return &Server{
		book: b,
	}
}

// Report implements quarantinepb.QuarantineServer.
func (s *Server) Report(_ context.Context, in *quarantinepb.Crashed) (*quarantinepb.Taken, error) {
	s.book.Report(DecodeCrash(in, s.book.now()))
	return &quarantinepb.Taken{}, nil
}

// Tell implements quarantinepb.QuarantineServer.
func (s *Server) Tell(_ context.Context, in *quarantinepb.Verdict) (*quarantinepb.Taken, error) {
	s.book.Learn(DecodeVerdict(in))
	return &quarantinepb.Taken{}, nil
}

// ReportTo reports a crash to the instance that a connection leads to.
func ReportTo(ctx context.Context, conn grpc.ClientConnInterface, m *quarantinepb.Crashed) error {
	_, err := quarantinepb.NewQuarantineClient(conn).Report(ctx, m)
	return err
}

// TellTo tells that instance of a verdict.
func TellTo(ctx context.Context, conn grpc.ClientConnInterface, v Verdict) error {
	_, err := quarantinepb.NewQuarantineClient(conn).Tell(ctx, EncodeVerdict(v))
	return err
}
