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

// ColdLimit bounds what an endpoint that is cold gets in any second from all instances
// together: Overage times the rate that it bears, plus Slack. The zero value sets no
// bound.
type ColdLimit struct {
	// Overage is a factor of the rate.
	Overage float64
	// Slack is a number of requests.
	Slack float64
}

// The measures of sharing the bound of a cold endpoint.
const (
	// coldWindow is the span in which places are counted, for a bound on each second:
	// a request reaches its endpoint some milliseconds after its place was given, or a
	// quarter of a second after where its entry is slow or memory has to be set aside
	// first.
	coldWindow = 1250 * time.Millisecond
	// coldOwnerShare is the part of the bound that an owner gives away. Two may act at a
	// time, while one follows another or where instances see different ones.
	coldOwnerShare = 3.0 / 8
	// coldFallbackShare is the part that all instances share that place alone.
	coldFallbackShare = 1 - 2*coldOwnerShare
)

// decider is who decides on a request.
type decider int

// The deciders.
const (
	// byOwner is the owner of a pool.
	byOwner decider = iota
	// byFallback is an instance that can't ask the owner of a pool.
	byFallback
	// byInstance is each instance, for a pool that has no owner.
	byInstance
)

// coldLedger is the ledger of a service's cold endpoints: how many requests each of them was
// given of late. The zero value has no bound.
type coldLedger struct {
	limit ColdLimit
	// perSecond is the rate that a cold endpoint bears, and start how long one stays
	// cold that has started.
	perSecond float64
	duration  time.Duration
	// self names this instance, and instances are all.
	self      string
	instances []string
	endpoints map[string]*coldEndpoint
	// passedOver counts how often a decision found an endpoint that had been given
	// all it may get.
	passedOver int64
}

// coldEndpoint is one endpoint's part of the ledger. It is kept while the endpoint is
// warm, as it may turn cold at any moment.
type coldEndpoint struct {
	// reportedUntil is until when the endpoint is cold by its entry, and assumed until when it
	// is taken to be for its return.
	reportedUntil time.Time
	assumedUntil  time.Time
	// placedAt is when requests were given to it within the last window.
	placedAt []time.Time
	// rank is the instance's place among all for this endpoint; negative while that is
	// not known.
	rank int
}

// coldUntil returns when the endpoint is warm.
func (e *coldEndpoint) coldUntil() time.Time {
	return later(e.reportedUntil, e.assumedUntil)
}

// configure takes over the bounds, and the instances that share them.
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

// sameInstances states whether the instances are those that are known.
func (c *coldLedger) sameInstances(peers map[string]catalog.Peer) bool {
	if len(peers) != len(c.instances) {
		return false
	}
	return !slices.ContainsFunc(c.instances, func(id string) bool {
		_, there := peers[id]
		return !there
	})
}

// enabled states whether cold endpoints of the service have a bound.
func (c *coldLedger) enabled() bool {
	return c.perSecond > 0 && c.limit.Overage > 0
}

// endpoint returns an endpoint's part of the ledger.
func (c *coldLedger) endpoint(instance string) *coldEndpoint {
	e := c.endpoints[instance]
	if e == nil {
		if c.endpoints == nil {
			c.endpoints = make(map[string]*coldEndpoint)
		}
		e = &coldEndpoint{
			rank: -1,
		}
		c.endpoints[instance] = e
	}
	return e
}

// setColdUntil takes over until when an endpoint is cold by its entry.
func (c *coldLedger) setColdUntil(instance string, until time.Time) {
	if e := c.endpoints[instance]; e != nil || !until.IsZero() {
		c.endpoint(instance).reportedUntil = until
	}
}

// assumeCold notes that an endpoint may have started just now, without its entry saying so:
// it failed of late, or its failure domain was emptied.
func (c *coldLedger) assumeCold(instance string, now time.Time) {
	if c.enabled() {
		c.endpoint(instance).assumedUntil = now.Add(c.duration)
	}
}

// undrained notes the return of the endpoints whose failure domain is no longer emptied.
func (c *coldLedger) undrained(list []*placement.Engine, before, after drainedDomains, now time.Time) {
	for _, e := range list {
		_, was := before[e.FailureDomain]
		_, is := after[e.FailureDomain]
		if was && !is {
			c.assumeCold(e.Instance, now)
		}
	}
}

// remove drops an endpoint.
func (c *coldLedger) remove(instance string) {
	delete(c.endpoints, instance)
}

// recordPlacement notes that a request was given to an endpoint, by whomever.
func (c *coldLedger) recordPlacement(instance string, now time.Time) {
	if !c.enabled() {
		return
	}
	e := c.endpoint(instance)
	e.placedAt = append(e.recent(now), now)
}

// recent returns when requests were given to the endpoint within the window.
func (e *coldEndpoint) recent(now time.Time) []time.Time {
	from := now.Add(-coldWindow)
	return slices.DeleteFunc(e.placedAt, func(at time.Time) bool {
		return !at.After(from)
	})
}

// availableAt returns when an endpoint may get a request: now, if it is warm or has not been
// given its part.
func (c *coldLedger) availableAt(instance string, by decider, now time.Time) time.Time {
	e := c.endpoints[instance]
	if !c.enabled() || e == nil || !now.Before(e.coldUntil()) {
		return now
	}
	quota := c.quota(instance, e, by)
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

// full states whether an endpoint must not get a request now.
func (c *coldLedger) full(instance string, by decider, now time.Time) bool {
	return c.availableAt(instance, by, now).After(now)
}

// soonest returns when the first of some endpoints may get a request.
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

// quota returns how many requests a decider may give a cold endpoint in a window. An owner
// gives at least one, or nobody would know when the endpoint is of use. Of a part that is
// shared by all instances each has a whole number of requests, some one more than
// others: who, is another for each endpoint.
func (c *coldLedger) quota(instance string, e *coldEndpoint, by decider) int {
	bound := c.perSecond*c.limit.Overage + c.limit.Slack
	switch by {
	case byFallback:
		return c.share(int(coldFallbackShare*bound), instance, e)
	case byInstance:
		return c.share(int(bound), instance, e)
	case byOwner:
	}
	return max(int(min(c.perSecond, coldOwnerShare*bound)), 1)
}

// share returns this instance's share of so many requests to an endpoint.
func (c *coldLedger) share(requests int, instance string, e *coldEndpoint) int {
	n := max(len(c.instances), 1)
	if e.rank < 0 {
		e.rank = c.rank(instance)
	}
	if e.rank < requests%n {
		return requests/n + 1
	}
	return requests / n
}

// rank returns this instance's place in the order of all for an endpoint.
func (c *coldLedger) rank(instance string) int {
	own := rendezvous.Score(instance, c.self, 1)
	n := 0
	for _, id := range c.instances {
		if id != c.self && rendezvous.Score(instance, id, 1) > own {
			n++
		}
	}
	return n
}

// markFull tells the engines' models which of them get no request now. They may still help
// to read: that is no request to them.
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

// decider returns who decides on a request of the pool.
func (p *poolState) decider(w *Waiter) decider {
	switch {
	case p.plain:
		return byInstance
	case w.fallback:
		return byFallback
	}
	return byOwner
}

// refuseCold returns a refusal for a request all of whose endpoints are cold and have been
// given what they may get, until after it would be refused for having waited; nil for
// others. It guards against callers that wait in vain.
func (s *Scheduler) refuseCold(p *poolState, w *Waiter, list []*placement.Engine, now time.Time) *Refusal {
	at := p.cold.soonest(list, p.decider(w), now)
	if !at.After(now) || !at.After(w.arrived.Add(time.Duration(maxWaitShare*float64(w.ask.Deadline)))) {
		return nil
	}
	return s.refusal("all endpoints have just started", at.Sub(now))
}
