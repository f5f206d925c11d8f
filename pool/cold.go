// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"slices"
	"time"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/internal/rendezvous"
	"github.com/linkmast/linkmast/placement"
	"github.com/linkmast/linkmast/route"
)

// ColdLimit bounds the requests that a cold endpoint gets in any second from all instances
// together: Overage times the rate that the endpoint sustains while it is cold, plus Slack. The
// zero value sets no limit.
type ColdLimit struct {
	// Overage is the factor of the sustained rate; zero means that there is no limit.
	Overage float64
	// Slack is a number of requests that is added to the limit.
	Slack float64
}

// Parameters for dividing the limit of a cold endpoint.
const (
	// coldWindow is the window in which placements are counted. It is longer than the second of
	// the limit, as the time from a placement to the arrival at the endpoint varies from some
	// milliseconds to a quarter of a second, if the entry instance is slow or reserves memory
	// first.
	coldWindow = 1250 * time.Millisecond
	// coldOwnerShare is the part of the limit that one owner may use. Two owners may act at the
	// same time, while one takes over from the other or if instances see different ones.
	coldOwnerShare = 3.0 / 8
	// coldFallbackShare is the part of the limit that all instances which reach no owner may
	// use together.
	coldFallbackShare = 1 - 2*coldOwnerShare
)

// decider is the role in which an instance decides on a request.
type decider int

// The roles.
const (
	// byOwner is the owner of a pool.
	byOwner decider = iota
	// byFallback is an instance that reaches no owner of the pool (see Waiter.fallback).
	byFallback
	// byInstance is any instance, in a plain pool.
	byInstance
)

// coldLedger counts the recent placements on the endpoints of a service, to limit those on cold
// endpoints. The zero value sets no limit.
type coldLedger struct {
	limit ColdLimit
	// perSecond is the rate that a cold endpoint sustains, and duration how long an endpoint
	// stays cold after its start.
	perSecond float64
	duration  time.Duration
	// self names this instance, and instances lists all instances.
	self      string
	instances []string
	endpoints map[string]*coldEndpoint
	// passedOver counts how often a decision skipped a cold endpoint at its limit.
	passedOver int64
}

// coldEndpoint is the record of one endpoint. It is kept while the endpoint is warm, as the
// endpoint may become cold at any moment.
type coldEndpoint struct {
	// reportedUntil is when the endpoint becomes warm according to the catalog, and
	// assumedUntil the same if a restart is only assumed.
	reportedUntil time.Time
	assumedUntil  time.Time
	// placedAt holds the times of the placements within the last window, the oldest first.
	placedAt []time.Time
	// rank is the result of coldLedger.rank for the endpoint; negative if it has to be computed.
	rank int
}

// coldUntil returns when the endpoint becomes warm.
func (e *coldEndpoint) coldUntil() time.Time {
	return later(e.reportedUntil, e.assumedUntil)
}

// configure applies the limits, and the instances that divide them.
func (c *coldLedger) configure(l ColdLimit, svc *route.Service, self string, peers map[string]catalog.Peer) {
	c.limit = l
	c.perSecond, c.duration = 0, 0
	if svc != nil {
		c.perSecond, c.duration = svc.ColdPerSecond, svc.ColdStart
	}
	if c.self == self && c.sameInstances(peers) {
		return
	}
	c.self = self
	c.instances = c.instances[:0]
	for id := range peers {
		c.instances = append(c.instances, id)
	}
	for _, e := range c.endpoints {
		e.rank = -1
	}
}

// sameInstances reports whether the peers are the instances known so far.
func (c *coldLedger) sameInstances(peers map[string]catalog.Peer) bool {
	if len(peers) != len(c.instances) {
		return false
	}
	return !slices.ContainsFunc(c.instances, func(id string) bool {
		_, there := peers[id]
		return !there
	})
}

// enabled reports whether there is a limit for the service's cold endpoints.
func (c *coldLedger) enabled() bool {
	return c.perSecond > 0 && c.limit.Overage > 0
}

// record returns the record of an endpoint and creates it if necessary.
func (c *coldLedger) record(endpoint string) *coldEndpoint {
	e := c.endpoints[endpoint]
	if e == nil {
		if c.endpoints == nil {
			c.endpoints = make(map[string]*coldEndpoint)
		}
		e = &coldEndpoint{
			rank: -1,
		}
		c.endpoints[endpoint] = e
	}
	return e
}

// setColdUntil sets when an endpoint becomes warm according to the catalog.
func (c *coldLedger) setColdUntil(endpoint string, until time.Time) {
	if e := c.endpoints[endpoint]; e != nil || !until.IsZero() {
		c.record(endpoint).reportedUntil = until
	}
}

// assumeCold treats an endpoint as just started, although the catalog doesn't say so: it failed
// repeatedly, or its failure domain was drained.
func (c *coldLedger) assumeCold(endpoint string, now time.Time) {
	if c.enabled() {
		c.record(endpoint).assumedUntil = now.Add(c.duration)
	}
}

// undrained treats the endpoints of failure domains that are no longer drained as just started.
func (c *coldLedger) undrained(list []*placement.Engine, before, after drainedDomains, now time.Time) {
	for _, e := range list {
		_, was := before[e.FailureDomain]
		_, is := after[e.FailureDomain]
		if was && !is {
			c.assumeCold(e.Instance, now)
		}
	}
}

// remove deletes the record of an endpoint.
func (c *coldLedger) remove(endpoint string) {
	delete(c.endpoints, endpoint)
}

// recordPlacement records the placement of a request on the endpoint with the given name.
func (c *coldLedger) recordPlacement(endpoint string, now time.Time) {
	if !c.enabled() {
		return
	}
	e := c.record(endpoint)
	e.placedAt = append(e.recent(now), now)
}

// recent removes the placements before the window and returns the others.
func (e *coldEndpoint) recent(now time.Time) []time.Time {
	from := now.Add(-coldWindow)
	return slices.DeleteFunc(e.placedAt, func(at time.Time) bool {
		return !at.After(from)
	})
}

// availableAt returns when a decider may place a request on an endpoint: now, if the endpoint
// is warm or the decider has not used up its quota.
func (c *coldLedger) availableAt(endpoint string, by decider, now time.Time) time.Time {
	e := c.endpoints[endpoint]
	if !c.enabled() || e == nil || !now.Before(e.coldUntil()) {
		return now
	}
	quota := c.quota(endpoint, e, by)
	if quota == 0 {
		return e.coldUntil()
	}
	e.placedAt = e.recent(now)
	if len(e.placedAt) < quota {
		return now
	}
	at := e.placedAt[len(e.placedAt)-quota].Add(coldWindow)
	if e.coldUntil().Before(at) {
		return e.coldUntil()
	}
	return at
}

// full reports whether a decider must not place a request on an endpoint now.
func (c *coldLedger) full(endpoint string, by decider, now time.Time) bool {
	return c.availableAt(endpoint, by, now).After(now)
}

// soonest returns the earliest time at which a decider may place a request on one of the endpoints;
// zero if there are none.
func (c *coldLedger) soonest(list []*placement.Engine, by decider, now time.Time) time.Time {
	var first time.Time
	for _, e := range list {
		at := c.availableAt(e.Instance, by, now)
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// quota returns how many requests a decider may place on a cold endpoint within a window. An owner
// may place at least one, as only an answer shows that the endpoint works. A part of the limit that
// instances share is divided among them in whole numbers. Some instances may therefore place one
// request more than others, and which ones differs between endpoints.
func (c *coldLedger) quota(endpoint string, e *coldEndpoint, by decider) int {
	bound := c.perSecond*c.limit.Overage + c.limit.Slack
	switch by {
	case byFallback:
		return c.share(int(coldFallbackShare*bound), endpoint, e)
	case byInstance:
		return c.share(int(bound), endpoint, e)
	case byOwner:
	}
	return max(int(min(c.perSecond, coldOwnerShare*bound)), 1)
}

// share returns this instance's share of the given number of requests to an endpoint.
func (c *coldLedger) share(requests int, endpoint string, e *coldEndpoint) int {
	n := max(len(c.instances), 1)
	if e.rank < 0 {
		e.rank = c.rank(endpoint)
	}
	if e.rank < requests%n {
		return requests/n + 1
	}
	return requests / n
}

// rank returns the position of this instance in the rendezvous order of all instances for an
// endpoint.
func (c *coldLedger) rank(endpoint string) int {
	own := rendezvous.Score(endpoint, c.self, 1)
	n := 0
	for _, id := range c.instances {
		if id != c.self && rendezvous.Score(endpoint, id, 1) > own {
			n++
		}
	}
	return n
}

// markFull sets Full for the engines that must not get a request now, and clears it for the others.
// Full engines may still help with the prefill of other engines' requests.
func (c *coldLedger) markFull(list []*placement.Engine, by decider, now time.Time) {
	for _, e := range list {
		e.Full = c.full(e.Instance, by, now)
		if e.Full {
			c.passedOver++
		}
	}
}

// withinLimit returns the endpoints that may get a request now.
func (c *coldLedger) withinLimit(list []*placement.Engine, by decider, now time.Time) []*placement.Engine {
	if !c.enabled() {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(e *placement.Engine) bool {
		full := c.full(e.Instance, by, now)
		if full {
			c.passedOver++
		}
		return full
	})
}

// count returns how many endpoints are cold.
func (c *coldLedger) count(now time.Time) int {
	n := 0
	for _, e := range c.endpoints {
		if now.Before(e.coldUntil()) {
			n++
		}
	}
	return n
}

// decider returns the role in which this instance decides on a request.
func (p *poolState) decider(w *Waiter) decider {
	switch {
	case p.plain:
		return byInstance
	case w.fallback:
		return byFallback
	}
	return byOwner
}

// refuseCold returns a refusal if all usable endpoints are cold and at their limits, and remain
// so until the request would be refused for having waited too long; nil otherwise. It spares
// callers a wait that ends with a refusal.
func (s *Scheduler) refuseCold(p *poolState, w *Waiter, list []*placement.Engine, now time.Time) *Refusal {
	at := p.cold.soonest(list, p.decider(w), now)
	if !at.After(now) || !at.After(w.arrived.Add(time.Duration(maxWaitShare*float64(w.placementRequest.Deadline)))) {
		return nil
	}
	return s.refusal("all endpoints have just started", at.Sub(now))
}
