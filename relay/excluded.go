// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"fmt"
	"time"

	"github.com/linkmast/linkmast/pool"
)

// excludedError is an endpoint that must get nothing new.
type excludedError struct {
	endpoint string
	reason   string
}

// Error returns the endpoint and the reason.
func (e *excludedError) Error() string {
	return fmt.Sprintf("endpoint %s gets nothing new: %s", e.endpoint, e.reason)
}

// findExcluded returns an endpoint of a grant that must get nothing new, or nil for none: it may
// have begun to leave, or its failure domain been emptied, while the request waited, or
// the one who placed it may know less.
func (l *Relay) findExcluded(g *pool.Grant) *excludedError {
	if e := l.checkExcluded(g.Instance, g.StartedAt); e != nil {
		return e
	}
	for _, r := range g.Shares {
		if e := l.checkExcluded(r.Instance, time.Time{}); e != nil {
			return e
		}
	}
	return nil
}

// checkExcluded returns an endpoint if it must get nothing new. Born is when its start began; zero
// when it does not say.
func (l *Relay) checkExcluded(instance string, startedAt time.Time) *excludedError {
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
	return &excludedError{
		endpoint: instance,
		reason:   reason,
	}
}
