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

// vnode is one node of a virtual fleet.
type vnode struct {
	id      string
	fleet   *virtual
	member  *member.Member
	rollout *rollout.Rollout
	owner   *owner.Owner
	entry   *entry.Entry
	writer  *claim.Writer
	claimer *claim.Claimer
	lender  *limit.Lender
	borrow  *limit.Borrower
	book    *quarantine.Registry
	sharing *quarantine.PeerGuard
	cancel  context.CancelFunc
	done    chan struct{}
}

// vleaser reaches the owner on another node.
type vleaser struct {
	from, to *vnode
}

func (l *vleaser) Acquire(ctx context.Context, r owner.Request, queued func(time.Duration)) (owner.Grant, error) {
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

func (l *vleaser) Release(ctx context.Context, r owner.Release) error {
	if err := l.from.fleet.gate(ctx, l.from.id, l.to.id); err != nil {
		return err
	}
	return l.to.owner.Release(ctx, r)
}

func (n *vnode) leaser(i instances.Instance) (owner.Leaser, error) {
	return &vleaser{
		from: n,
		to:   n.fleet.nodes[i.ID],
	}, nil
}

// Held implements owner.Holders.
func (n *vnode) Held(ctx context.Context, holder string, attempts []string) ([]string, error) {
	if err := n.fleet.gate(ctx, n.id, holder); err != nil {
		return nil, err
	}
	return n.fleet.nodes[holder].entry.Registry.HeldAmong(attempts), nil
}

// Probe implements member.Prober.
func (n *vnode) Probe(ctx context.Context, address string, in *memberpb.ProbeRequest) (*memberpb.ProbeReply, error) {
	if err := n.fleet.gate(ctx, n.id, address); err != nil {
		return nil, err
	}
	return n.fleet.nodes[address].member.Answer(in), nil
}

// List implements instances.Lister.
func (n *vnode) List(ctx context.Context, since int64) (instances.List, error) {
	if err := n.fleet.gate(ctx, n.id, "platform"); err != nil {
		return instances.List{}, err
	}
	return n.fleet.platform.Instances.List(ctx, since)
}

// vlog reaches the platform's log from a node.
type vlog struct {
	node *vnode
	*standin.Log
}

// Append implements logsvc.Log.
func (l *vlog) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	if err := l.node.fleet.gate(ctx, l.node.id, "platform"); err != nil {
		return 0, &logsvc.Error{
			Err: err,
		}
	}
	return l.Log.Append(ctx, stream, records)
}

// Read implements logsvc.Log.
func (l *vlog) Read(ctx context.Context, stream string, from int64, wait time.Duration) (logsvc.Batch, error) {
	if err := l.node.fleet.gate(ctx, l.node.id, "platform"); err != nil {
		return logsvc.Batch{}, &logsvc.Error{
			Err: err,
		}
	}
	return l.Log.Read(ctx, stream, from, wait)
}

// Addresses implements rollout.Peers.
func (n *vnode) Addresses() []string {
	var out []string
	for id := range n.fleet.nodes {
		if id != n.id {
			out = append(out, id)
		}
	}
	return out
}

// Pull implements rollout.Peers.
func (n *vnode) Pull(ctx context.Context, address string, in *rolloutpb.PullRequest) (*rolloutpb.PullReply, error) {
	if err := n.fleet.gate(ctx, n.id, address); err != nil {
		return nil, err
	}
	return n.fleet.nodes[address].rollout.HandlePull(in)
}

// Reader implements rollout.Peers.
func (n *vnode) Reader() bool { return true }

// Repeater implements rollout.Peers.
func (n *vnode) Repeater() bool {
	i, _ := n.member.View().GlobalOwner("repeater")
	return i.ID == n.id
}

// Borrow implements limit.QuotaOwners.
func (n *vnode) Borrow(ctx context.Context, a limit.LoanRequest, b limit.Quota) (limit.Loan, error) {
	i, _ := n.member.View().GlobalOwner(a.Customer)
	if err := n.fleet.gate(ctx, n.id, i.ID); err != nil {
		return limit.Loan{}, err
	}
	return n.fleet.nodes[i.ID].lender.Lend(a, b, time.Now()), nil
}

// InstanceCount implements limit.QuotaOwners.
func (n *vnode) InstanceCount() int { return len(n.member.View().Nodes) }

// vasker reaches the writer on another node.
type vasker struct {
	from, to *vnode
}

func (a *vasker) Claim(ctx context.Context, c claim.Claim) (claim.Claim, error) {
	if err := a.from.fleet.gate(ctx, a.from.id, a.to.id); err != nil {
		return claim.Claim{}, err
	}
	got, err := a.to.writer.Claim(ctx, c)
	if err == nil {
		err = a.from.fleet.gate(ctx, a.from.id, a.to.id)
	}
	return got, err
}

func (a *vasker) Free(ctx context.Context, c claim.Claim) error {
	if err := a.from.fleet.gate(ctx, a.from.id, a.to.id); err != nil {
		return err
	}
	return a.to.writer.Free(ctx, c)
}

func (n *vnode) route(partition int) []claim.Service {
	var out []claim.Service
	for _, i := range n.member.View().Ranked(claim.StreamName(partition), 2) {
		out = append(out, &vasker{
			from: n,
			to:   n.fleet.nodes[i.ID],
		})
	}
	return out
}

// CountingInstances implements quarantine.Peers.
func (n *vnode) CountingInstances(id quarantine.Identity) []string {
	var out []string
	for _, i := range n.member.View().Ranked(id.String(), 2) {
		out = append(out, i.ID)
	}
	return out
}

// Self implements quarantine.Peers.
func (n *vnode) Self() string { return n.id }

// Others implements quarantine.Peers.
func (n *vnode) Others() []string { return n.Addresses() }

// SendCrash implements quarantine.Peers.
func (n *vnode) SendCrash(ctx context.Context, instance string, c quarantine.Crash) error {
	if err := n.fleet.gate(ctx, n.id, instance); err != nil {
		return err
	}
	n.fleet.nodes[instance].book.ReportCrash(c)
	return nil
}

// SendVerdict implements quarantine.Peers.
func (n *vnode) SendVerdict(ctx context.Context, instance string, v quarantine.Verdict) error {
	if err := n.fleet.gate(ctx, n.id, instance); err != nil {
		return err
	}
	n.fleet.nodes[instance].book.ApplyVerdict(v)
	return nil
}

// check is a quarantine.Checker.
func (n *vnode) check(ctx context.Context, address string) error {
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
func (n *vnode) Attach(ctx context.Context, instance, request string, out entry.Writer) error {
	if err := n.fleet.gate(ctx, n.id, instance); err != nil {
		return err
	}
	return n.fleet.nodes[instance].entry.Answers.CopyTo(ctx, request, out)
}

// start starts one node.
func (v *virtual) start(n *vnode, id, strategy string) {
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
	log := &vlog{
		node: n,
		Log:  v.platform.Log,
	}
	n.member = member.New(member.Settings{
		Self: self,
	}, n, n, func() int64 { return 0 }, logr.Discard())
	n.rollout = rollout.New(rollout.Settings{}, log, n, logr.Discard())
	n.writer = claim.NewWriter(claim.Settings{}, log)
	n.claimer = claim.NewClaimer(n.route)
	n.lender = limit.NewLender(0)
	n.borrow = limit.NewBorrower(id, n)
	n.book = quarantine.New(steady.Now, nil, logr.Discard())
	n.sharing = quarantine.NewPeerGuard(n.book, n, logr.Discard())
	n.entry = entry.New(entry.Settings{
		Self:     self,
		Strategy: strategyNamed(strategy),
	}, entry.Parts{
		Configuration: n.rollout.View,
		Members:       n.member.View,
		Leaser:        n.leaser,
		Suspect:       n.member.ReportFailure,
		Endpoints:     n,
		Claimer:       n.claimer,
		Borrower:      n.borrow,
		Quarantine:    n.sharing,
		Check:         n.check,
		Attach:        n,
		Log:           logr.Discard(),
	})
	n.owner = owner.New(owner.Settings{
		Strategy: strategyNamed(strategy),
	}, n, n, order.New(order.Settings{}, log, v.platform.Weights, logr.Discard()), logr.Discard())
	go n.sharing.Run(ctx)
	go n.follow(ctx)
}

// follow derives ownership and summaries, as a node does.
func (n *vnode) follow(ctx context.Context) {
	defer close(n.done)
	for ctx.Err() == nil {
		n.derive(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (n *vnode) derive(ctx context.Context) {
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
