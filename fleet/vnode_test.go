// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package fleet

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/linkmast/linkmast/claim"
	"github.com/linkmast/linkmast/entry"
	"github.com/linkmast/linkmast/instances"
	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/limit"
	"github.com/linkmast/linkmast/logsvc"
	"github.com/linkmast/linkmast/member"
	"github.com/linkmast/linkmast/member/memberpb"
	"github.com/linkmast/linkmast/order"
	"github.com/linkmast/linkmast/owner"
	"github.com/linkmast/linkmast/quarantine"
	"github.com/linkmast/linkmast/rollout"
	"github.com/linkmast/linkmast/rollout/rolloutpb"
	"github.com/linkmast/linkmast/standin"
)

// virtualNode is a node of a virtual fleet. It reaches the other nodes, the endpoints
// and the platform by function calls that pass through gate.
type virtualNode struct {
	id        string
	fleet     *virtualFleet
	member    *member.Member
	rollout   *rollout.Rollout
	owner     *owner.Owner
	entry     *entry.Entry
	writer    *claim.Writer
	claimer   *claim.Claimer
	lender    *limit.Lender
	borrower  *limit.Borrower
	registry  *quarantine.Registry
	peerGuard *quarantine.PeerGuard
	cancel    context.CancelFunc
	done      chan struct{}
}

// gatedLeaser calls the owner on another node through gate. A grant passes through gate
// again on its way back.
type gatedLeaser struct {
	from, to *virtualNode
}

func (l *gatedLeaser) Acquire(ctx context.Context, r owner.Request, queued func(time.Duration)) (owner.Grant, error) {
	if err := l.from.fleet.gate(ctx, l.from.id, l.to.id); err != nil {
		return owner.Grant{}, &owner.Refusal{
			Code:   owner.RefusedSilent,
			Detail: err.Error(),
		}
	}
	g, err := l.to.owner.Acquire(ctx, r, queued)
	if err == nil {
		err = l.from.fleet.gate(ctx, l.from.id, l.to.id)
	}
	return g, err
}

func (l *gatedLeaser) Release(ctx context.Context, r owner.Release) error {
	if err := l.from.fleet.gate(ctx, l.from.id, l.to.id); err != nil {
		return err
	}
	return l.to.owner.Release(ctx, r)
}

func (n *virtualNode) leaser(i instances.Instance) (owner.Leaser, error) {
	return &gatedLeaser{
		from: n,
		to:   n.fleet.nodes[i.ID],
	}, nil
}

// Held implements owner.Holders.
func (n *virtualNode) Held(ctx context.Context, holder string, attempts []string) ([]string, error) {
	if err := n.fleet.gate(ctx, n.id, holder); err != nil {
		return nil, err
	}
	return n.fleet.nodes[holder].entry.Registry.HeldAmong(attempts), nil
}

// Probe implements member.Prober.
func (n *virtualNode) Probe(ctx context.Context, address string, in *memberpb.ProbeRequest) (*memberpb.ProbeReply, error) {
	if err := n.fleet.gate(ctx, n.id, address); err != nil {
		return nil, err
	}
	return n.fleet.nodes[address].member.Answer(in), nil
}

// List implements instances.Lister.
func (n *virtualNode) List(ctx context.Context, since int64) (instances.List, error) {
	if err := n.fleet.gate(ctx, n.id, "platform"); err != nil {
		return instances.List{}, err
	}
	return n.fleet.platform.Instances.List(ctx, since)
}

// gatedLog calls the platform's log from a node through gate.
type gatedLog struct {
	node *virtualNode
	*standin.Log
}

// Append implements logsvc.Log.
func (l *gatedLog) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	if err := l.node.fleet.gate(ctx, l.node.id, "platform"); err != nil {
		return 0, &logsvc.Error{
			Err: err,
		}
	}
	return l.Log.Append(ctx, stream, records)
}

// Read implements logsvc.Log.
func (l *gatedLog) Read(ctx context.Context, stream string, from int64, wait time.Duration) (logsvc.Batch, error) {
	if err := l.node.fleet.gate(ctx, l.node.id, "platform"); err != nil {
		return logsvc.Batch{}, &logsvc.Error{
			Err: err,
		}
	}
	return l.Log.Read(ctx, stream, from, wait)
}

// Addresses implements rollout.Peers.
func (n *virtualNode) Addresses() []string {
	var out []string
	for id := range n.fleet.nodes {
		if id != n.id {
			out = append(out, id)
		}
	}
	return out
}

// Pull implements rollout.Peers.
func (n *virtualNode) Pull(ctx context.Context, address string, in *rolloutpb.PullRequest) (*rolloutpb.PullReply, error) {
	if err := n.fleet.gate(ctx, n.id, address); err != nil {
		return nil, err
	}
	return n.fleet.nodes[address].rollout.HandlePull(in)
}

// Reader implements rollout.Peers.
func (n *virtualNode) Reader() bool { return true }

// Repeater implements rollout.Peers.
func (n *virtualNode) Repeater() bool {
	i, _ := n.member.View().GlobalOwner("repeater")
	return i.ID == n.id
}

// Borrow implements limit.QuotaOwners.
func (n *virtualNode) Borrow(ctx context.Context, a limit.LoanRequest, b limit.Quota) (limit.Loan, error) {
	i, _ := n.member.View().GlobalOwner(a.Customer)
	if err := n.fleet.gate(ctx, n.id, i.ID); err != nil {
		return limit.Loan{}, err
	}
	return n.fleet.nodes[i.ID].lender.Lend(a, b, time.Now()), nil
}

// InstanceCount implements limit.QuotaOwners.
func (n *virtualNode) InstanceCount() int { return len(n.member.View().Nodes) }

// gatedClaimService calls the claim writer on another node through gate. A claim passes
// through gate again on its way back.
type gatedClaimService struct {
	from, to *virtualNode
}

func (a *gatedClaimService) Claim(ctx context.Context, c claim.Claim) (claim.Claim, error) {
	if err := a.from.fleet.gate(ctx, a.from.id, a.to.id); err != nil {
		return claim.Claim{}, err
	}
	got, err := a.to.writer.Claim(ctx, c)
	if err == nil {
		err = a.from.fleet.gate(ctx, a.from.id, a.to.id)
	}
	return got, err
}

func (a *gatedClaimService) Free(ctx context.Context, c claim.Claim) error {
	if err := a.from.fleet.gate(ctx, a.from.id, a.to.id); err != nil {
		return err
	}
	return a.to.writer.Free(ctx, c)
}

// claimServices returns the claim writers of the two nodes that rank first for the stream
// of a partition.
func (n *virtualNode) claimServices(partition int) []claim.Service {
	var out []claim.Service
	for _, i := range n.member.View().Ranked(claim.StreamName(partition), 2) {
		out = append(out, &gatedClaimService{
			from: n,
			to:   n.fleet.nodes[i.ID],
		})
	}
	return out
}

// CountingInstances implements quarantine.Peers.
func (n *virtualNode) CountingInstances(id quarantine.Identity) []string {
	var out []string
	for _, i := range n.member.View().Ranked(id.String(), 2) {
		out = append(out, i.ID)
	}
	return out
}

// Self implements quarantine.Peers.
func (n *virtualNode) Self() string { return n.id }

// Others implements quarantine.Peers.
func (n *virtualNode) Others() []string { return n.Addresses() }

// SendCrash implements quarantine.Peers.
func (n *virtualNode) SendCrash(ctx context.Context, instance string, c quarantine.Crash) error {
	if err := n.fleet.gate(ctx, n.id, instance); err != nil {
		return err
	}
	n.fleet.nodes[instance].registry.ReportCrash(c)
	return nil
}

// SendVerdict implements quarantine.Peers.
func (n *virtualNode) SendVerdict(ctx context.Context, instance string, v quarantine.Verdict) error {
	if err := n.fleet.gate(ctx, n.id, instance); err != nil {
		return err
	}
	n.fleet.nodes[instance].registry.ApplyVerdict(v)
	return nil
}

// check implements quarantine.Checker. It fails if the endpoint is dead or can't be
// reached from the node.
func (n *virtualNode) check(ctx context.Context, address string) error {
	if err := n.fleet.gate(ctx, n.id, address); err != nil {
		return err
	}
	if e := n.fleet.engines[address]; e != nil && e.Faults().Dead {
		return errCutOff
	}
	if s := n.fleet.services[address]; s != nil && s.Faults().Dead {
		return errCutOff
	}
	return nil
}

// Attach implements entry.Attacher.
func (n *virtualNode) Attach(ctx context.Context, instance, request string, out entry.Writer) error {
	if err := n.fleet.gate(ctx, n.id, instance); err != nil {
		return err
	}
	return n.fleet.nodes[instance].entry.Answers.CopyTo(ctx, request, out)
}

// start starts a node with the given id and strategy.
func (v *virtualFleet) start(n *virtualNode, id, strategy string) {
	ctx, cancel := context.WithCancel(context.Background())
	n.id = id
	n.fleet = v
	n.cancel = cancel
	n.done = make(chan struct{})
	self := instances.Instance{
		ID:            id,
		Kind:          instances.KindNode,
		Address:       id,
		FailureDomain: "d1",
		Region:        Region,
		State:         instances.Live,
	}
	log := &gatedLog{
		node: n,
		Log:  v.platform.Log,
	}
	n.member = member.New(member.Settings{
		Self: self,
	}, n, n, func() int64 { return 0 }, logr.Discard())
	n.rollout = rollout.New(rollout.Settings{}, log, n, logr.Discard())
	n.writer = claim.NewWriter(claim.Settings{}, log)
	n.claimer = claim.NewClaimer(n.claimServices)
	n.lender = limit.NewLender(0)
	n.borrower = limit.NewBorrower(id, n)
	n.registry = quarantine.New(steady.Now, quarantine.Dependencies{}, logr.Discard())
	n.peerGuard = quarantine.NewPeerGuard(n.registry, n, logr.Discard())
	n.entry = entry.New(entry.Settings{
		Self:     self,
		Strategy: strategyByName(strategy),
	}, entry.Parts{
		Configuration: n.rollout.View,
		Members:       n.member.View,
		Leaser:        n.leaser,
		ReportFailure: n.member.ReportFailure,
		Endpoints:     n,
		Claimer:       n.claimer,
		Borrower:      n.borrower,
		Quarantine:    n.peerGuard,
		Check:         n.check,
		Attach:        n,
		Log:           logr.Discard(),
	})
	n.owner = owner.New(owner.Settings{
		Strategy: strategyByName(strategy),
	}, n, n, order.New(order.Settings{}, log, v.platform.Weights, logr.Discard()), logr.Discard())
	go n.peerGuard.Run(ctx)
	go n.runUpdates(ctx)
}

// runUpdates calls update every 100 ms until ctx ends.
func (n *virtualNode) runUpdates(ctx context.Context) {
	defer close(n.done)
	for ctx.Err() == nil {
		n.update(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// update derives the owned endpoints from the configuration and the members, and copies
// the endpoint summaries of all reachable nodes to the entry.
func (n *virtualNode) update(ctx context.Context) {
	v, m := n.rollout.View(), n.member.View()
	if v == nil {
		return
	}
	var mine []owner.Target
	for _, e := range v.File.Endpoints {
		by, ok := m.RegionalOwner(e.ID, Region)
		if !ok || by.ID != n.id {
			continue
		}
		t := owner.Target{
			Endpoint: e,
		}
		if e.Model != "" {
			t.Desired = order.State{
				Model:   e.Model,
				Version: version,
			}
		}
		if at, ok := m.Endpoint(e.Address); ok {
			t.Instance = at.ID
			t.Leaving = at.State != instances.Live
		}
		mine = append(mine, t)
	}
	n.owner.SetOwned(mine)
	n.entry.Rebuild()
	for id := range m.Nodes {
		if n.fleet.gate(ctx, n.id, id) == nil {
			n.entry.UpdateSummaries(n.fleet.nodes[id].owner.Summaries())
		}
	}
}
