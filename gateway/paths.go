// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway

import (
	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/internal/tcp"
	"github.com/linkmast/linkmast/internal/upstream"
	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/reach"
)

// assemblePaths creates what connects to endpoints, for this instance and for others.
func (g *Gateway) assemblePaths(dial tcp.DialFunc) {
	g.reach = reach.NewDialer(reach.Settings{
		Self:          g.self.ID,
		FailureDomain: g.self.FailureDomain,
		Now:           steady.Now,
	}, reach.Parts{
		Dial:      dial,
		Peers:     g.forwardingPeers,
		Connector: g.peers,
		OnHang:    g.closeHanging,
		Log:       g.log.WithName("reach"),
	})
	g.forwarder = reach.NewServer(g.reach, knownEndpoints{
		snapshot: g.catalog.Snapshot,
	}, g.stopping)
	g.upstream = upstream.New(upstream.Settings{
		Dial: g.reach.DialContext,
	})
	g.orders = wirehttp.ClientBy(g.reach.DialContext, 0)
	g.reports = wirehttp.ClientBy(g.reach.DialContext, maxIdleReportConns)
}

// forwardingPeers returns the instances of the current snapshot.
func (g *Gateway) forwardingPeers() []reach.Peer {
	s := g.catalog.Snapshot()
	if s == nil {
		return nil
	}
	out := make([]reach.Peer, 0, len(s.Peers))
	for _, p := range s.Peers {
		out = append(out, reach.Peer{
			ID:            p.ID,
			Address:       p.Address,
			FailureDomain: p.FailureDomain,
		})
	}
	return out
}

// closeHanging closes the idle direct connections to an endpoint, or to all if the address is empty,
// because new ones were found to hang.
func (g *Gateway) closeHanging(address string) {
	g.upstream.CloseDirect(address)
	g.orders.CloseIdleConnections()
	g.reports.CloseIdleConnections()
}

// knownEndpoints are the endpoints of the current snapshot.
type knownEndpoints struct {
	snapshot func() *catalog.Snapshot
}

// Known implements reach.Endpoints.
func (k knownEndpoints) Known(address string) bool {
	s := k.snapshot()
	if s == nil {
		return false
	}
	for _, e := range s.Endpoints {
		if e.Address == address {
			return true
		}
	}
	return false
}

// Others implements reach.Endpoints. It returns random endpoints that are not leaving.
func (k knownEndpoints) Others(address string, n int) []string {
	s := k.snapshot()
	if s == nil {
		return nil
	}
	var out []string
	for _, e := range s.Endpoints {
		if len(out) == n {
			break
		}
		if e.Address != address && !e.Leaving {
			out = append(out, e.Address)
		}
	}
	return out
}
