// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package limit

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/limit/limitpb"
)

// QuotaOf returns the bounds of a customer in the configuration in force. It
// is false when there is no such customer.
type QuotaOf func(customer string) (Quota, bool)

// Server serves a Lender to other instances.
type Server struct {
	limitpb.UnimplementedLenderServer

	lender *Lender
	bounds QuotaOf
}

// NewServer returns a server.
func NewServer(l *Lender, bounds QuotaOf) *Server {
	return &Server{
		lender: l,
		bounds: bounds,
	}
}

var errCustomer = errors.New("no such customer in the configuration in force")

// Borrow implements limitpb.LenderServer.
func (s *Server) Borrow(_ context.Context, in *limitpb.BorrowRequest) (*limitpb.BorrowReply, error) {
	b, ok := s.bounds(in.Customer)
	if !ok {
		return nil, errCustomer
	}
	loan := s.lender.Lend(LoanRequest{
		Customer: in.Customer,
		Borrower: in.Borrower,
		Starts:   int(in.Starts),
		Running:  int(in.Running),
	}, b, steady.Now())
	return &limitpb.BorrowReply{
		Starts:       int32(loan.Starts),
		Running:      int32(loan.Running),
		ValidMs:      loan.RunningValidFor.Milliseconds(),
		RetryAfterMs: loan.RetryAfter.Milliseconds(),
	}, nil
}

// Borrow asks the lender at the other end of a connection.
func Borrow(ctx context.Context, conn grpc.ClientConnInterface, a LoanRequest) (Loan, error) {
	reply, err := limitpb.NewLenderClient(conn).Borrow(ctx, &limitpb.BorrowRequest{
		Customer: a.Customer,
		Borrower: a.Borrower,
		Starts:   int32(a.Starts),
		Running:  int32(a.Running),
	})
	if err != nil {
		return Loan{}, err
	}
	return Loan{
		Starts:          int(reply.Starts),
		Running:         int(reply.Running),
		RunningValidFor: time.Duration(reply.ValidMs) * time.Millisecond,
		RetryAfter:      time.Duration(reply.RetryAfterMs) * time.Millisecond,
	}, nil
}
