// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"fmt"
	"time"

	"github.com/linkmast/linkmast/pool"
)

// unavailableError reports an endpoint that must get no new requests for now, as opposed to one
// that only a single request must not get (see job.exclude).
type unavailableError struct {
	endpoint string
	reason   string
}

// Error returns a message with the endpoint's id and the reason.
func (e *unavailableError) Error() string {
	return fmt.Sprintf("endpoint %s is excluded: %s", e.endpoint, e.reason)
}

// findUnavailable returns an error if an endpoint of the grant is unavailable, else nil. The
// endpoint may have become unavailable during the wait for the placement, or the instance that
// placed the request did not know of it yet.
func (l *Relay) findUnavailable(g *pool.Grant) *unavailableError {
	if e := l.checkAvailable(g.Instance, g.StartedAt); e != nil {
		return e
	}
	for _, r := range g.Shares {
		if e := l.checkAvailable(r.Instance, time.Time{}); e != nil {
			return e
		}
	}
	return nil
}

// checkAvailable returns an error if an endpoint has departed, is in a drained failure domain,
// or has stated in its answers that it is leaving or needs a back-off; else nil. StartedAt is
// the start time of the endpoint's incarnation; zero if unknown.
func (l *Relay) checkAvailable(instance string, startedAt time.Time) *unavailableError {
	reason := ""
	switch {
	case l.parts.Snapshot().Unavailable(instance):
		reason = "it is leaving or its failure domain is emptied"
	case l.parts.Notices != nil:
		reason = l.parts.Notices.ExclusionReason(instance, startedAt)
	}
	if reason == "" {
		return nil
	}
	return &unavailableError{
		endpoint: instance,
		reason:   reason,
	}
}
