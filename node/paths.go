// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package node

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/linkmast/linkmast/config"
	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/internal/tcp"
	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/reach"
)

// assemblePaths creates what connects to endpoints, for this instance and for others.
func (n *Node) assemblePaths(dial tcp.DialFunc) {
	known := configuredEndpoints{
		view: n.rollout.View,
	}
	n.reach = reach.NewDialer(reach.Settings{
		Self:          n.self.ID,
		FailureDomain: n.self.FailureDomain,
		Now:           steady.Now,
	}, reach.Parts{
		Dial:      dial,
		Peers:     n.forwardingPeers,
		Connector: n.pool,
		ServiceOf: func(address string) string {
			if e := known.find(address); e != nil {
				return serviceOf(e)
			}
			return ""
		},
		OnHang: func(string) { n.endpoints.CloseIdleConnections() },
		Log:    n.log.WithName("reach"),
	})
	n.forwarder = reach.NewServer(n.reach, known, n.stopping)
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
	return c.find(address) != nil
}

// Others implements reach.Endpoints. An engine's service is its model.
func (c configuredEndpoints) Others(address string, n int) (service string, others []string) {
	found := c.find(address)
	if found == nil {
		return "", nil
	}
	for i := range c.view().File.Endpoints {
		e := &c.view().File.Endpoints[i]
		if serviceOf(e) == serviceOf(found) && e.Address != address {
			others = append(others, e.Address)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return serviceOf(found), others[:min(n, len(others))]
}

// serviceOf returns what an endpoint serves: the service of a plain one, the model of an engine.
func serviceOf(e *config.Endpoint) string {
	return cmp.Or(e.Service, e.Model)
}

// find returns the endpoint at an address, or nil if there is none.
func (c configuredEndpoints) find(address string) *config.Endpoint {
	v := c.view()
	if v == nil {
		return nil
	}
	for i := range v.File.Endpoints {
		if e := &v.File.Endpoints[i]; e.Address == address {
			return e
		}
	}
	return nil
}
