// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway

import (
	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/notice"
)

// recordStatements records the statements that the endpoint at an address makes about itself in its
// answer to a slowdown query or an order. It ignores them unless the catalog lists exactly one
// endpoint at the address, because otherwise the sender is unknown.
func (g *Gateway) recordStatements(address string, s notice.Statements) {
	snap := g.catalog.Snapshot()
	if snap == nil {
		return
	}
	var at []catalog.Endpoint
	for _, e := range snap.Endpoints {
		if e.Address == address {
			at = append(at, e)
		}
	}
	if len(at) != 1 {
		return
	}
	g.placer.RecordAnswer(notice.Answer{
		Instance:  at[0].Instance,
		StartedAt: at[0].StartedAt,
	}, s)
}
