// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import "github.com/linkmast/linkmast/worth"

// worthRequest returns the properties of a request on which its worth depends.
func (a *PlacementRequest) worthRequest() worth.Request {
	k := worth.Request{
		Customer:  a.Rank,
		Route:     a.Route,
		RouteRank: a.RouteRank,
		Prompt:    a.Prompt,
		Output:    a.Output,
	}
	if a.Customer == "" {
		// Without a customer, Rank is the priority of the route.
		k.Customer = 0
	}
	return k
}
