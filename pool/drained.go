// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"slices"
	"time"

	"github.com/linkmast/linkmast/placement"
)

// drainedRetryAfter is when the callers of a service may come back all of whose endpoints are in
// emptied failure domains: an operator takes a domain back after seconds at the least, and a
// caller has few tries.
const drainedRetryAfter = 2 * time.Second

// drainedDomains are the failure domains whose endpoints get nothing new, with when this became
// known. What runs there goes on: streams end by themselves, and reservations of memory are
// renewed until their requests end.
type drainedDomains map[string]time.Time

// excludes states whether an endpoint must not get a request, by what this instance knows or by
// what the entry that asks does: either may be cut off from the store.
func (d drainedDomains) excludes(a *PlacementRequest, e *placement.Engine) bool {
	_, known := d[e.FailureDomain]
	return known || slices.Contains(a.DrainedDomains, e.FailureDomain)
}

// excludesAny states whether at least one of the endpoints must not get a request.
func (d drainedDomains) excludesAny(a *PlacementRequest, list []*placement.Engine) bool {
	return slices.ContainsFunc(list, func(e *placement.Engine) bool {
		return d.excludes(a, e)
	})
}
