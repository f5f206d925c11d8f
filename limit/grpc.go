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

// QuotaOf returns the quota of a customer in the configuration in force. It returns false if there
// is no such customer.
type QuotaOf func(customer string) (Quota, bool)

// Server serves a Lender to other instances.
type Server struct {
	limitpb.UnimplementedLenderServer

	lender  *Lender
	quotaOf QuotaOf
}

// NewServer returns a server that looks up quotas with quotaOf.
func NewServer(l *Lender, quotaOf QuotaOf) *Server {
	return &Server{
		lender:  l,
		quotaOf: quotaOf,
	}
}

var errCustomer = errors.New("no such customer in the configuration in force")

// Borrow implements limitpb.LenderServer.
func (s *Server) Borrow(_ context.Context, in *limitpb.BorrowRequest) (*limitpb.BorrowReply, error) {
	quota, ok := s.quotaOf(in.Customer)
	if !ok {
		return nil, errCustomer
	}
	loan := s.lender.Lend(LoanRequest{
		Customer: in.Customer,
		Borrower: in.Borrower,
		Starts:   int(in.Starts),
		Running:  int(in.Running),
	}, quota, steady.Now())
	return &limitpb.BorrowReply{
		Starts:       int32(loan.Starts),
		Running:      int32(loan.Running),
		ValidMs:      loan.RunningValidFor.Milliseconds(),
		RetryAfterMs: loan.RetryAfter.Milliseconds(),
	}, nil
}

// Borrow asks the lender at the other end of a connection for a loan.
func Borrow(ctx context.Context, conn grpc.ClientConnInterface, req LoanRequest) (Loan, error) {
	reply, err := limitpb.NewLenderClient(conn).Borrow(ctx, &limitpb.BorrowRequest{
		Customer: req.Customer,
		Borrower: req.Borrower,
		Starts:   int32(req.Starts),
		Running:  int32(req.Running),
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
