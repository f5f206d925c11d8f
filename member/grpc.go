// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package member

import (
	"context"

	"google.golang.org/grpc"

	"github.com/linkmast/linkmast/instances"
	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/member/memberpb"
)

// Server answers the probes of other instances.
type Server struct {
	memberpb.UnimplementedMemberServer

	member *Member
}

// NewServer returns a server for a member.
func NewServer(m *Member) *Server {
	return &Server{
		member: m,
	}
}

// Probe implements memberpb.MemberServer.
func (s *Server) Probe(_ context.Context, in *memberpb.ProbeRequest) (*memberpb.ProbeReply, error) {
	return s.member.Answer(in), nil
}

// Answer merges the reports of a probe and returns the reply.
func (m *Member) Answer(in *memberpb.ProbeRequest) *memberpb.ProbeReply {
	m.mu.Lock()
	m.lastHeard[in.From] = steady.Now()
	reply := &memberpb.ProbeReply{
		Instance:   m.settings.Self.ID,
		Stopping:   m.stopping,
		Generation: m.generation(),
	}
	if in.WantInstances {
		for _, i := range m.list.Instances {
			reply.Instances = append(reply.Instances, encodeInstance(i))
		}
	}
	m.mu.Unlock()
	m.mergeReports(in.Reports)
	reply.Reports = m.outgoingReports()
	return reply
}

func encodeInstance(i instances.Instance) *memberpb.Instance {
	return &memberpb.Instance{
		Id:            i.ID,
		Kind:          string(i.Kind),
		Address:       i.Address,
		FailureDomain: i.FailureDomain,
		Region:        i.Region,
		State:         string(i.State),
	}
}

// decodeList returns a list with version 0, which any list of the platform replaces.
func decodeList(in []*memberpb.Instance) instances.List {
	l := instances.List{
		Instances: make([]instances.Instance, 0, len(in)),
	}
	for _, i := range in {
		l.Instances = append(l.Instances, instances.Instance{
			ID:            i.Id,
			Kind:          instances.Kind(i.Kind),
			Address:       i.Address,
			FailureDomain: i.FailureDomain,
			Region:        i.Region,
			State:         instances.State(i.State),
		})
	}
	return l
}

// Conns provides connections to addresses.
type Conns interface {
	// Conn returns the connection to an address.
	Conn(address string) (*grpc.ClientConn, error)
}

// RPC sends probes by gRPC. It implements Prober.
type RPC struct {
	conns Conns
}

// NewRPC returns a prober that uses the given connections.
func NewRPC(conns Conns) *RPC {
	return &RPC{
		conns: conns,
	}
}

// Probe implements Prober.
func (r *RPC) Probe(ctx context.Context, address string, in *memberpb.ProbeRequest) (*memberpb.ProbeReply, error) {
	conn, err := r.conns.Conn(address)
	if err != nil {
		return nil, err
	}
	return memberpb.NewMemberClient(conn).Probe(ctx, in)
}
