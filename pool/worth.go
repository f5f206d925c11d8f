// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import "github.com/linkmast/linkmast/worth"

// kind returns what the worth of a request depends on.
func (a *PlacementRequest) kind() worth.Request {
	k := worth.Request{
		Customer:  a.Rank,
		Route:     a.Route,
		RouteRank: a.RouteRank,
		Prompt:    a.Prompt,
		Output:    a.Output,
	}
	if a.Customer == "" {
		// The rank is that of the route.
		k.Customer = 0
	}
	return k
}
