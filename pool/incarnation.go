// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"slices"
	"time"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/placement"
)

// detectRestart takes over that an endpoint may have started again under its name. What was
// thought to run, to hold or to be reserved there has ended, and its record of failures
// is that of another life. It returns how many attempts ended, and whether the endpoint
// has started again.
func (p *poolState) detectRestart(c catalog.Endpoint) (ended int, again bool) {
	e, known := p.engines[c.Instance]
	if !known {
		return 0, false
	}
	h := p.health[c.Instance]
	again = !h.startedAt.IsZero() && c.StartedAt.After(h.startedAt)
	if again {
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
	return ended, again
}

// endEarlierIncarnations ends the attempts at the lives of an endpoint before the one that started at a
// moment, and the parts of prompts that it read for others: their requests fail, as
// those notice. It returns how many attempts ended.
func (p *poolState) endEarlierIncarnations(instance string, born time.Time) int {
	n := 0
	for id, at := range p.attempts {
		switch {
		case at.instance == instance && at.startedAt.Before(born):
			p.endAttempt(id)
			n++
		case slices.Contains(at.joint, instance):
			p.engines[instance].Remove(id)
		}
	}
	return n
}

// isStale states whether a place was given at a life of an endpoint that is over. One
// that does not say counts as given at the present life.
func (p *poolState) isStale(g *Grant) bool {
	h := p.health[g.Instance]
	return h != nil && !g.StartedAt.IsZero() && g.StartedAt.Before(h.startedAt)
}
