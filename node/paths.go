// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package node

import (
	"context"
	"time"

	"github.com/linkmast/linkmast/config"
	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/internal/tcp"
	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/reach"
)

// assemblePaths creates what connects to endpoints, for this instance and for others.
func (n *Node) assemblePaths(dial tcp.DialFunc) {
	n.reach = reach.NewDialer(reach.Settings{
		Self:          n.self.ID,
		FailureDomain: n.self.FailureDomain,
		Now:           steady.Now,
	}, reach.Parts{
		Dial:      dial,
		Peers:     n.forwardingPeers,
		Connector: n.pool,
		OnHang:    func(string) { n.endpoints.CloseIdleConnections() },
		Log:       n.log.WithName("reach"),
	})
	n.forwarder = reach.NewServer(n.reach, configuredEndpoints{
		view: n.rollout.View,
	}, n.stopping)
	n.endpoints = wirehttp.ClientBy(n.reach.DialContext, 0)
}

// leavingInterval is the interval at which closeLeaving looks for connections.
const leavingInterval = time.Second

// closeLeaving closes idle connections to endpoints while some go through instances that will stop,
// until ctx ends.
func (n *Node) closeLeaving(ctx context.Context) {
	tick := time.NewTicker(leavingInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if n.reach.Leaving() > 0 {
				n.endpoints.CloseIdleConnections()
			}
		}
	}
}

// forwardingPeers returns the available instances.
func (n *Node) forwardingPeers() []reach.Peer {
	nodes := n.member.View().Nodes
	out := make([]reach.Peer, 0, len(nodes))
	for _, i := range nodes {
		out = append(out, reach.Peer{
			ID:            i.ID,
			Address:       i.Address,
			FailureDomain: i.FailureDomain,
		})
	}
	return out
}

// configuredEndpoints are the endpoints of the configuration in force.
type configuredEndpoints struct {
	view func() *config.View
}

// Known implements reach.Endpoints.
func (c configuredEndpoints) Known(address string) bool {
	return c.find(func(e *config.Endpoint) bool { return e.Address == address }, 1) != nil
}

// Others implements reach.Endpoints.
func (c configuredEndpoints) Others(address string, n int) []string {
	return c.find(func(e *config.Endpoint) bool { return e.Address != address }, n)
}

// find returns the addresses of up to n endpoints that satisfy a condition.
func (c configuredEndpoints) find(wanted func(e *config.Endpoint) bool, n int) []string {
	v := c.view()
	if v == nil {
		return nil
	}
	var out []string
	for i := range v.File.Endpoints {
		if len(out) == n {
			break
		}
		if e := &v.File.Endpoints[i]; wanted(e) {
			out = append(out, e.Address)
		}
	}
	return out
}
