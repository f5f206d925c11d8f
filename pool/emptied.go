// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"slices"
	"time"

	"github.com/linkmast/linkmast/placement"
)

// emptiedAfter is when the callers of a service may come back all of whose endpoints are in
// emptied failure domains: an operator takes a domain back after seconds at the least, and a
// caller has few tries.
const emptiedAfter = 2 * time.Second

// emptied are the failure domains whose endpoints get nothing new, with when this became
// known. What runs there goes on: streams end by themselves, and reservations of memory are
// renewed until their requests end.
type emptied map[string]time.Time

// bars states whether an endpoint must not get a request, by what this instance knows or by
// what the entry that asks does: either may be cut off from the store.
func (d emptied) bars(a *PlacementRequest, e *placement.Engine) bool {
	_, known := d[e.FailureDomain]
	return known || slices.Contains(a.DrainedDomains, e.FailureDomain)
}

// barsAny states whether at least one of the endpoints must not get a request.
func (d emptied) barsAny(a *PlacementRequest, list []*placement.Engine) bool {
	return slices.ContainsFunc(list, func(e *placement.Engine) bool {
		return d.bars(a, e)
	})
}
