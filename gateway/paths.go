// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway

import (
	"math/rand/v2"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/internal/tcp"
	"github.com/linkmast/linkmast/internal/upstream"
	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/reach"
)

// assemblePaths creates what connects to endpoints, for this instance and for others.
func (g *Gateway) assemblePaths(dial tcp.DialFunc) {
	known := knownEndpoints{
		snapshot: g.catalog.Snapshot,
	}
	g.reach = reach.NewDialer(reach.Settings{
		Self:          g.self.ID,
		FailureDomain: g.self.FailureDomain,
		Now:           steady.Now,
	}, reach.Parts{
		Dial:      dial,
		Peers:     g.forwardingPeers,
		Connector: g.peers,
		ServiceOf: func(address string) string {
			service, _ := known.serviceOf(address)
			return service
		},
		OnHang: g.closeHanging,
		Log:    g.log.WithName("reach"),
	})
	g.forwarder = reach.NewServer(g.reach, known, g.stopping)
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
	_, known := k.serviceOf(address)
	return known
}

// Others implements reach.Endpoints. It omits endpoints that are leaving.
func (k knownEndpoints) Others(address string, n int) (service string, others []string) {
	service, known := k.serviceOf(address)
	if !known {
		return "", nil
	}
	for _, e := range k.snapshot().Endpoints {
		if e.Service == service && e.Address != address && !e.Leaving {
			others = append(others, e.Address)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return service, others[:min(n, len(others))]
}

// serviceOf returns the service of the endpoint at an address, or false if there is none.
func (k knownEndpoints) serviceOf(address string) (string, bool) {
	s := k.snapshot()
	if s == nil {
		return "", false
	}
	for _, e := range s.Endpoints {
		if e.Address == address {
			return e.Service, true
		}
	}
	return "", false
}
