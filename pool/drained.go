// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"slices"
	"time"

	"github.com/linkmast/linkmast/placement"
)

// drainedRetryAfter is the least RetryAfter of a refusal while the endpoints of a service are
// in drained failure domains. Operators take seconds to undrain a domain, and callers make few
// tries.
const drainedRetryAfter = 2 * time.Second

// drainedDomains holds the failure domains whose endpoints get no new requests, with the time
// at which this became known. Requests that run there continue, and their reservations of
// memory are renewed.
type drainedDomains map[string]time.Time

// covers reports whether an endpoint must not get a request, as its failure domain is drained
// according to this instance or to the entry instance. Either may be cut off from the store.
func (d drainedDomains) covers(a *PlacementRequest, e *placement.Engine) bool {
	_, known := d[e.FailureDomain]
	return known || slices.Contains(a.DrainedDomains, e.FailureDomain)
}

// coversAny reports whether covers is true for any of the endpoints.
func (d drainedDomains) coversAny(a *PlacementRequest, list []*placement.Engine) bool {
	return slices.ContainsFunc(list, func(e *placement.Engine) bool {
		return d.covers(a, e)
	})
}
