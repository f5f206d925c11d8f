// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"slices"
	"time"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/placement"
)

// detectRestart checks by an endpoint's catalog entry whether it has restarted under its name.
// If so, it ends the attempts of earlier incarnations and resets the engine model, the health
// and the slowdown. It returns how many attempts ended, and whether the endpoint has restarted.
func (p *poolState) detectRestart(c catalog.Endpoint) (ended int, restarted bool) {
	e, known := p.engines[c.Instance]
	if !known {
		return 0, false
	}
	h := p.health[c.Instance]
	restarted = !h.startedAt.IsZero() && c.StartedAt.After(h.startedAt)
	if restarted {
		ended = p.endEarlierIncarnations(c.Instance, c.StartedAt)
		*e = placement.Engine{
			Instance: e.Instance,
			Jobs:     e.Jobs,
		}
		*h = endpointHealth{
			preference: h.preference,
		}
		delete(p.slowdowns.records, c.Instance)
	}
	if c.StartedAt.After(h.startedAt) {
		h.startedAt = c.StartedAt
	}
	return ended, restarted
}

// endEarlierIncarnations ends the attempts that were placed on an endpoint's earlier incarnations,
// those that started before the given time, and returns their number. It also removes the
// endpoint's shares of joint prefills; the endpoints that answer those requests notice the failure
// themselves.
func (p *poolState) endEarlierIncarnations(endpoint string, startedAt time.Time) int {
	n := 0
	for id, at := range p.attempts {
		switch {
		case at.endpoint == endpoint && at.startedAt.Before(startedAt):
			p.endAttempt(id)
			n++
		case slices.Contains(at.helpers, endpoint):
			p.engines[endpoint].Remove(id)
		}
	}
	return n
}

// isStale reports whether a grant is for an earlier incarnation of its endpoint. A grant without a
// start time counts as one for the present incarnation.
func (p *poolState) isStale(g *Grant) bool {
	h := p.health[g.Instance]
	return h != nil && !g.StartedAt.IsZero() && g.StartedAt.Before(h.startedAt)
}
