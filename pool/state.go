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

// poolState is what a scheduler knows of one service.
type poolState struct {
	// self names the instance.
	self string
	// engines are the endpoints by instance.
	engines map[string]*placement.Engine
	// list is the engines in a fixed order.
	list []*placement.Engine
	// endpointHealth is what is known of each endpoint, by instance.
	health map[string]*endpointHealth
	// placed are the attempts that have a place, by id.
	attempts map[string]*attempt
	// queue are the requests that wait.
	queue []*Waiter
	// ownerRetries is the budget of the pool's owner, and alone what an instance may
	// spend that has no owner to ask.
	ownerRetries    retryCounter
	fallbackRetries retryCounter
	predictions     predictionStats
	// worth tells what requests are worth.
	worth *worth.Scale
	// refusedCallers are callers that may come back.
	refusedCallers refusedCallers
	// price is what a second of the engines costs.
	price price
	// longestGap is the longest pause that any request has allowed.
	longestGap time.Duration
	// travel is how long requests are on their way to the engines.
	transit transitEstimate
	// emptied are the failure domains that get nothing new.
	drained drainedDomains
	// coldLedger counts what endpoints get that have just started.
	cold coldLedger
	// slowdowns is how quickly the engines work.
	slowdowns slowdowns
	// suspicion is what shows that endpoints have stopped.
	suspicion suspicion
	// checks are how all endpoints are checked when some have stopped.
	checks checkState
	// reconnects is the work that was cut and comes back.
	reconnects reconnects
	// notices has what endpoints say of themselves.
	notices *notice.Registry
	// rateLimits are the rate limits that endpoints name.
	rateLimits rateLimits
	// passedOver counts the endpoints that decisions passed over as they backed off or were at
	// their rate limits, and unavailable the requests that were refused as no endpoint took
	// any.
	passedOver  int64
	unavailable int64
	// plain states that the service's endpoints are no engines.
	plain bool
}

// attempt is an attempt that has a place.
type attempt struct {
	instance string
	// startedAt is when the life of the endpoint started that the place is at; zero when
	// that is not known.
	startedAt time.Time
	// joint are the endpoints that help to read the prompt.
	joint []string
	// placedAt is when the place was given, and first the predicted time from then to
	// the first event.
	placedAt       time.Time
	predictedFirst time.Duration
	// begun states that the first event has come.
	begun bool
	// workload is what comes back if the attempt is cut.
	workload workload
	// entry names the instance that has the attempt.
	entry string
	// suspectedAt is when its entry last said that it is silent, and silentSince since
	// when it is. Moved states that the entry was told to move it.
	suspectedAt time.Time
	silentSince time.Time
	moved       bool
	// watched states that its entry suspects it when it is silent.
	watched bool
	// orphanMark is the mark of the ended session that the attempt came through;
	// zero while its entry is in touch. CutAt is when that session ended.
	orphanMark int64
	cutAt      time.Time
}

// endpoints returns all endpoints of the attempt, the one that answers last.
func (at *attempt) endpoints() []string {
	return append(slices.Clone(at.joint), at.instance)
}

// upsert takes over the entry of an endpoint.
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

// prune forgets endpoints that are gone, once nothing runs there.
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

// shareRetryBudget sets the parts of the retry budget. Of what may be sent again beside the
// ratio, half is for the pool's owner, which may change, and half for all
// instances that place alone. Pools without engines are always placed by each
// instance alone, so that there the instances share all of it.
func (p *poolState) shareRetryBudget(whole Budget, instances int) {
	p.ownerRetries.budget = Budget{
		Ratio:  whole.Ratio * retryBudgetShare,
		Extra:  whole.Extra * retryBudgetShare / 2,
		Window: whole.Window,
	}
	p.fallbackRetries.budget = p.ownerRetries.budget
	p.fallbackRetries.budget.Extra /= float64(max(instances, 1))
	p.rateLimits.instances = instances
	if p.plain {
		p.fallbackRetries.budget.Extra *= 2
		p.ownerRetries.budget = p.fallbackRetries.budget
	}
}

// retryBudgetShare leaves a part of the budget for what is counted twice or not at
// all when owners change.
const retryBudgetShare = 0.75

// resolve returns the instance of the endpoint with a name or an address; empty
// when there is none.
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

// endAttempt forgets an attempt.
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

// usable returns the endpoints that a request may be placed on. When all of them
// failed of late, it returns them all the same: the reports may be wrong.
func (p *poolState) usable(w *Waiter, now time.Time) []*placement.Engine {
	out := make([]*placement.Engine, 0, len(p.list))
	v := p.notices.View()
	var failed []*placement.Engine
	for _, e := range p.list {
		switch {
		case p.ineligible(w, e, v) || p.availableAt(w, e, v).After(now):
		case slices.Contains(w.ask.Avoid, e.Instance) || !p.health[e.Instance].usable(now) || p.suspicion.doubted[e.Instance]:
			failed = append(failed, e)
		default:
			out = append(out, e)
		}
	}
	if len(out) == 0 {
		return failed
	}
	return out
}

// admit counts a request against the retry budget. It returns a refusal when
// the budget is spent.
func (p *poolState) admit(a PlacementRequest, alone bool, now time.Time) *Refusal {
	if !a.Retry {
		p.ownerRetries.countFirst(now)
		p.fallbackRetries.countFirst(now)
		return nil
	}
	spender := &p.ownerRetries
	if alone {
		spender = &p.fallbackRetries
	}
	if spender.allowRetry(now) {
		return nil
	}
	return &Refusal{
		Reason:     "retry budget is spent",
		RetryAfter: defaultRetryAfter,
	}
}

// defaultRetryAfter is when to come back when nothing better is known.
const defaultRetryAfter = 500 * time.Millisecond

// applyFirstEvent corrects the model by an attempt's first event. It returns how much later that
// was than the model said.
func (p *poolState) applyFirstEvent(id string, at *attempt, now time.Time) time.Duration {
	if p.plain {
		return 0
	}
	late := time.Duration(0)
	if e := p.engines[at.instance]; e != nil {
		late = e.Observe(id, now)
	}
	for _, name := range at.joint {
		if e := p.engines[name]; e != nil {
			e.FinishShare(id, now)
		}
	}
	return late
}
