// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/internal/rendezvous"
	"github.com/linkmast/linkmast/notice"
	"github.com/linkmast/linkmast/placement"
	"github.com/linkmast/linkmast/route"
	"github.com/linkmast/linkmast/worth"
)

// poolState holds what a scheduler knows about one service: its endpoints, the attempts placed
// on them and the requests that wait.
type poolState struct {
	// self names this instance.
	self string
	// engines holds the endpoints by name.
	engines map[string]*placement.Engine
	// list holds the same endpoints, sorted by name.
	list []*placement.Engine
	// health holds the health of each endpoint, by name.
	health map[string]*endpointHealth
	// attempts holds the placed attempts that have not ended, by id.
	attempts map[string]*attempt
	// queue holds the requests that wait for a decision.
	queue []*Waiter
	// retries counts first sends and retries, and bounds the latter.
	retries retryLedger
	// retriesAllowed and retriesRefused count the decisions of this instance on retries.
	retriesAllowed int
	retriesRefused int
	// predictions counts the predictions of first events, and those that were accurate.
	predictions predictionStats
	// worth computes a request's worth from its customer, route and size.
	worth *worth.Scale
	// refusedCallers remembers refused callers, which may come back.
	refusedCallers refusedCallers
	// price estimates the price of engine time.
	price price
	// longestGap is the largest Gap of all requests so far.
	longestGap time.Duration
	// transit estimates how long requests take to reach the engines.
	transit transitEstimate
	// drained holds the failure domains that an operator has drained.
	drained drainedDomains
	// cold limits the requests to endpoints that have just started.
	cold coldLedger
	// slowdowns tracks how much slower than their model the engines work.
	slowdowns slowdowns
	// suspicion tracks the signs that endpoints have stopped.
	suspicion suspicion
	// checks tracks the connection checks of the endpoints.
	checks checkState
	// reconnects holds interrupted attempts, whose callers may reconnect.
	reconnects reconnects
	// notices holds the rate limits, back-offs and departures that endpoints have announced.
	notices *notice.Registry
	// rateLimits divides rate limits among the instances that place without an owner.
	rateLimits rateLimits
	// passedOver counts the endpoints that placements skipped because of a back-off or a rate
	// limit. unavailable counts the requests that were refused because no endpoint was usable
	// soon enough, due to departures, back-offs or rate limits.
	passedOver  int64
	unavailable int64
	// plain is set if the service has no engine model.
	plain bool
}

// attempt is an attempt of a request that has been placed on an endpoint.
type attempt struct {
	// endpoint names the endpoint that answers the request.
	endpoint string
	// startedAt is the start time of the endpoint's incarnation that received the attempt; zero
	// if unknown.
	startedAt time.Time
	// helpers names the other endpoints that take part in a joint prefill.
	helpers []string
	// placedAt is when the attempt was placed, and predictedFirst the predicted time from then
	// to the first event.
	placedAt       time.Time
	predictedFirst time.Duration
	// begun is set if the first event has arrived.
	begun bool
	// workload identifies the request if the attempt is interrupted and its caller reconnects.
	workload workload
	// entry names the entry instance.
	entry string
	// suspectedAt is when the entry instance last reported the attempt as silent, and silentSince
	// when the silence began. migrating is set once the migration of the attempt has been ordered.
	suspectedAt time.Time
	silentSince time.Time
	migrating   bool
	// watched is set if the entry instance is expected to report the attempt when it falls silent.
	watched bool
	// orphanMark identifies the ended session through which the attempt came; zero while the
	// entry instance is connected. interruptedAt is when that session ended.
	orphanMark    int64
	interruptedAt time.Time
	// retryBy is the process that sends the attempt, if it is a retry that counts for the budget;
	// else the zero value.
	retryBy process
}

// endpoints returns the names of all endpoints of the attempt. The last one answers the request.
func (at *attempt) endpoints() []string {
	return append(slices.Clone(at.helpers), at.endpoint)
}

// upsert adds an endpoint, or updates it, from its catalog entry. An endpoint of a service
// without an engine model makes the pool plain.
func (p *poolState) upsert(c catalog.Endpoint, svc *route.Service) {
	e, ok := p.engines[c.Instance]
	if !ok {
		e = &placement.Engine{
			Instance: c.Instance,
		}
		p.engines[c.Instance] = e
		p.health[c.Instance] = &endpointHealth{
			preference: rendezvous.Score(p.self, c.Instance, 1),
			startedAt:  c.StartedAt,
		}
		p.list = append(p.list, e)
		slices.SortFunc(p.list, func(a, b *placement.Engine) int {
			return cmp.Compare(a.Instance, b.Instance)
		})
	}
	e.Address = c.Address
	e.FailureDomain = c.FailureDomain
	e.Slots = max(c.Slots, 1)
	e.Closed = c.Leaving
	p.cold.setColdUntil(c.Instance, c.ColdUntil)
	e.Model = svc.Engine
	p.worth.SetModel(svc.Engine, svc.TypicalSize)
	if e.Model == nil {
		p.plain = true
		e.Model = &batch.Model{}
	}
}

// prune closes the endpoints that the catalog no longer lists for the service, and removes them
// once they have no jobs.
func (p *poolState) prune(service string, snap *catalog.Snapshot) {
	p.list = slices.DeleteFunc(p.list, func(e *placement.Engine) bool {
		c, known := snap.Endpoints[e.Instance]
		if known && c.Service == service {
			return false
		}
		e.Closed = true
		if len(e.Jobs) > 0 {
			return false
		}
		delete(p.engines, e.Instance)
		delete(p.health, e.Instance)
		p.cold.remove(e.Instance)
		delete(p.slowdowns.records, e.Instance)
		return true
	})
}

// resolve returns the name of the endpoint with the given name or address, or "" if there is
// none. Closed endpoints are not found by their address.
func (p *poolState) resolve(name string) string {
	if _, ok := p.engines[name]; ok {
		return name
	}
	for _, e := range p.list {
		if e.Address == name && !e.Closed {
			return e.Instance
		}
	}
	return ""
}

// endAttempt removes an attempt and its jobs.
func (p *poolState) endAttempt(id string) {
	at, ok := p.attempts[id]
	if !ok {
		return
	}
	delete(p.attempts, id)
	for _, name := range at.endpoints() {
		if e := p.engines[name]; e != nil {
			e.Remove(id)
		}
	}
}

// usable returns the endpoints on which a request may be placed. If every available endpoint
// failed recently or is suspected to have stopped, it returns these, as the reports may be
// wrong.
func (p *poolState) usable(w *Waiter, now time.Time) []*placement.Engine {
	out := make([]*placement.Engine, 0, len(p.list))
	v := p.notices.View()
	var avoided []*placement.Engine
	for _, e := range p.list {
		switch {
		case p.ineligible(w, e, v) || p.availableAt(w, e, v).After(now):
		case slices.Contains(w.placementRequest.Avoid, e.Instance) || !p.health[e.Instance].usable(now) || p.suspicion.doubted[e.Instance]:
			avoided = append(avoided, e)
		default:
			out = append(out, e)
		}
	}
	if len(out) == 0 {
		return avoided
	}
	return out
}

// admit counts a first send, or reserves a place in the budget for a retry, and logs the decision on
// a retry. It returns a refusal if the budget is exhausted. The caller must hold s.mu.
func (s *Scheduler) admit(p *poolState, w *Waiter, now time.Time) *Refusal {
	a := &w.placementRequest
	from := s.processes.of(w.entry)
	p.retries.setDecider(from, s.settings.Self, now)
	if !a.Retry {
		if !a.Counted {
			p.retries.countFirst(&s.processes, from, now)
		}
		return nil
	}
	u := p.retries.use(&s.processes, now)
	allowed := p.retries.reserve(&u)
	s.log.Info("retry", "attempt", a.ID, "service", a.Service, "entry", w.entry, "allowed", allowed,
		"first", u.own.first, "retries", u.own.retries, "limit", u.limit(p.retries.budget), "share", u.share,
		"total_retries", u.all.retries, "total_limit", u.totalLimit(p.retries.budget), "pending", p.retries.pending)
	if allowed {
		p.retriesAllowed++
		w.retryPending = true
		return nil
	}
	p.retriesRefused++
	return &Refusal{
		Reason:     "retry budget is spent",
		RetryAfter: defaultRetryAfter,
	}
}

// settleRetry ends the reservation of a retry in the budget, as the request is placed, refused or
// withdrawn.
func (p *poolState) settleRetry(w *Waiter) {
	if w.retryPending {
		w.retryPending = false
		p.retries.pending--
	}
}

// countRetry counts the retry that an attempt of a process makes. The caller must hold s.mu.
func (s *Scheduler) countRetry(p *poolState, at *attempt, by process, now time.Time) {
	at.retryBy = by
	p.retries.countRetry(&s.processes, by, now)
}

// uncountRetry removes the retry of an attempt that did not reach an endpoint.
// The caller must hold s.mu.
func (s *Scheduler) uncountRetry(p *poolState, at *attempt, now time.Time) {
	if at.retryBy != (process{}) {
		p.retries.uncountRetry(&s.processes, at.retryBy, at.placedAt, now)
	}
}

// defaultRetryAfter is the RetryAfter of a request that exceeds the retry budget.
const defaultRetryAfter = 500 * time.Millisecond

// applyFirstEvent corrects the engine models by the first event of an attempt. It returns how
// much later the event came than the model of its engine predicted.
func (p *poolState) applyFirstEvent(id string, at *attempt, now time.Time) time.Duration {
	if p.plain {
		return 0
	}
	late := time.Duration(0)
	if e := p.engines[at.endpoint]; e != nil {
		late = e.Observe(id, now)
	}
	for _, name := range at.helpers {
		if e := p.engines[name]; e != nil {
			e.FinishShare(id, now)
		}
	}
	return late
}
