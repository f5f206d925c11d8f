// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package node

import (
	"context"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"

	"github.com/linkmast/linkmast/claim"
	"github.com/linkmast/linkmast/instances"
	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/limit"
	"github.com/linkmast/linkmast/member"
	"github.com/linkmast/linkmast/owner"
	"github.com/linkmast/linkmast/owner/ownerpb"
	"github.com/linkmast/linkmast/peer"
	"github.com/linkmast/linkmast/rollout/rolloutpb"
)

// The keys of rendezvous hashing that assign the roles in the rollout of configurations.
const (
	readersKey  = "configuration-readers"
	repeaterKey = "configuration-repeater"
)

// readersPerDomain is the number of instances in each failure domain that read the log.
const readersPerDomain = 2

// claimWriterCount is the number of instances that are tried for writing a claim.
const claimWriterCount = 2

// peers forwards calls to other instances, or to components of this one if it is the target. It
// implements owner.Holders, rollout.Peers, limit.QuotaOwners and quarantine.Peers.
type peers struct {
	self  instances.Instance
	seeds []string
	pool  *peer.Pool
	view  func() *member.View
	// local is this instance.
	local *Node
}

// conn returns the connection to an instance.
func (p *peers) conn(i instances.Instance) (*grpc.ClientConn, error) {
	return p.pool.Conn(i.Address)
}

// ConnTo returns the connection to the instance with an id. It returns an error if the instance
// isn't listed.
func (p *peers) ConnTo(id string) (*grpc.ClientConn, error) {
	i, ok := p.view().Listed[id]
	if !ok {
		return nil, errors.Errorf("instance %q is not in the list of instances", id)
	}
	return p.conn(i)
}

// leaser returns the leaser of an instance: its owner component if it is this instance, otherwise a
// client.
func (p *peers) leaser(i instances.Instance) (owner.Leaser, error) {
	if i.ID == p.self.ID {
		return p.local.owner, nil
	}
	c, err := p.conn(i)
	if err != nil {
		return nil, err
	}
	return owner.NewClient(c, p.local.entry.UpdateSummaries), nil
}

// Held implements owner.Holders.
func (p *peers) Held(ctx context.Context, holder string, attempts []string) ([]string, error) {
	if holder == p.self.ID {
		return p.local.entry.Registry.HeldAmong(attempts), nil
	}
	c, err := p.ConnTo(holder)
	if err != nil {
		return nil, err
	}
	reply, err := ownerpb.NewHolderClient(c).Held(ctx, &ownerpb.HeldRequest{
		Attempts: attempts,
	})
	if err != nil {
		return nil, err
	}
	return reply.Attempts, nil
}

// Addresses implements rollout.Peers. It returns the seeds while no other instance is listed.
func (p *peers) Addresses() []string {
	v := p.view()
	out := make([]string, 0, len(v.Listed))
	for id, i := range v.Listed {
		if id != p.self.ID {
			out = append(out, i.Address)
		}
	}
	if len(out) == 0 {
		return p.seeds
	}
	return out
}

// Pull implements rollout.Peers.
func (p *peers) Pull(ctx context.Context, address string, in *rolloutpb.PullRequest) (*rolloutpb.PullReply, error) {
	c, err := p.pool.Conn(address)
	if err != nil {
		return nil, err
	}
	return rolloutpb.NewRolloutClient(c).Pull(ctx, in)
}

// Reader implements rollout.Peers. The first readersPerDomain available instances of each failure
// domain by rendezvous hashing are readers. If a failure domain has fewer available instances than
// that, its unavailable instances are readers as well.
func (p *peers) Reader() bool {
	v := p.view()
	before := 0
	for _, i := range v.Ranked(readersKey, len(v.Nodes)) {
		if i.ID == p.self.ID {
			return true
		}
		if i.FailureDomain == p.self.FailureDomain {
			before++
		}
		if before == readersPerDomain {
			return false
		}
	}
	return true
}

// Repeater implements rollout.Peers. It returns true while no instance is available.
func (p *peers) Repeater() bool {
	i, ok := p.view().GlobalOwner(repeaterKey)
	return !ok || i.ID == p.self.ID
}

// Borrow implements limit.QuotaOwners.
func (p *peers) Borrow(ctx context.Context, a limit.LoanRequest, b limit.Quota) (limit.Loan, error) {
	i, ok := p.view().GlobalOwner("customer:" + a.Customer)
	if !ok {
		return limit.Loan{}, errors.New("no instance is available to own the customer's quota")
	}
	if i.ID == p.self.ID {
		return p.local.lender.Lend(a, b, steady.Now()), nil
	}
	c, err := p.conn(i)
	if err != nil {
		return limit.Loan{}, err
	}
	return limit.Borrow(ctx, c, a)
}

// InstanceCount implements limit.QuotaOwners.
func (p *peers) InstanceCount() int {
	return len(p.view().Nodes)
}

// claimServices returns the claim services of the instances that may write a partition's claims, in
// the order in which they are tried. The first is the partition's usual writer.
func (p *peers) claimServices(partition int) []claim.Service {
	var out []claim.Service
	for _, i := range p.view().Ranked(claim.StreamName(partition), claimWriterCount) {
		if i.ID == p.self.ID {
			out = append(out, p.local.writer)
			continue
		}
		if c, err := p.conn(i); err == nil {
			out = append(out, claim.NewClient(c))
		}
	}
	return out
}
