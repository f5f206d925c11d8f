// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package node

import (
	"context"
	"slices"

	"github.com/linkmast/linkmast/instances"
	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/quarantine"
)

// countingInstances is the number of instances that count the crashes that a request causes. The
// counts survive the failure of one of these instances.
const countingInstances = 2

// crashKey returns the key by which rendezvous hashing ranks the instances for an identity. The
// ranking determines which instances count the crashes that requests of the identity cause, and in
// which order instances may admit such a request again after a ban.
func crashKey(id quarantine.Identity) string {
	return "crashes:" + id.String()
}

// CountingInstances implements quarantine.Peers.
func (p *peers) CountingInstances(id quarantine.Identity) []string {
	return idsOf(p.view().Ranked(crashKey(id), countingInstances))
}

// retestTurn returns this instance's position in the order in which instances may admit a request
// again after its ban. The position is zero if this instance isn't available.
func (p *peers) retestTurn(id quarantine.Identity) quarantine.RetestTurn {
	v := p.view()
	return quarantine.RetestTurn{
		Position:  max(slices.Index(idsOf(v.Ranked(crashKey(id), len(v.Nodes))), p.self.ID), 0),
		Instances: len(v.Nodes),
	}
}

func idsOf(list []instances.Instance) []string {
	out := make([]string, 0, len(list))
	for _, i := range list {
		out = append(out, i.ID)
	}
	return out
}

// Self implements quarantine.Peers.
func (p *peers) Self() string { return p.self.ID }

// Others implements quarantine.Peers.
func (p *peers) Others() []string {
	v := p.view()
	out := make([]string, 0, len(v.Nodes))
	for id := range v.Nodes {
		if id != p.self.ID {
			out = append(out, id)
		}
	}
	return out
}

// SendCrash implements quarantine.Peers.
func (p *peers) SendCrash(ctx context.Context, instance string, c quarantine.Crash) error {
	conn, err := p.ConnTo(instance)
	if err != nil {
		return err
	}
	return quarantine.SendCrash(ctx, conn, quarantine.EncodeCrash(c, steady.Now()))
}

// SendVerdict implements quarantine.Peers.
func (p *peers) SendVerdict(ctx context.Context, instance string, v quarantine.Verdict) error {
	conn, err := p.ConnTo(instance)
	if err != nil {
		return err
	}
	return quarantine.SendVerdict(ctx, conn, v)
}
