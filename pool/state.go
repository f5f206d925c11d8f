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

// state is what a scheduler knows of one service.
type state struct {
	// self names the instance.
	self string
	// engines are the endpoints by instance.
	engines map[string]*placement.Engine
	// list is the engines in a fixed order.
	list []*placement.Engine
	// health is what is known of each endpoint, by instance.
	health map[string]*health
	// placed are the attempts that have a place, by id.
	placed map[string]*placed
	// queue are the requests that wait.
	queue []*Waiter
	// retry is the budget of the pool's owner, and alone what an instance may
	// spend that has no owner to ask.
	retry  spender
	alone  spender
	errors predictionStats
	// worth tells what requests are worth.
	worth *worth.Scale
	// refusedBefore are callers that may come back.
	refusedBefore refusedBefore
	// price is what a second of the engines costs.
	price price
	// longestGap is the longest pause that any request has allowed.
	longestGap time.Duration
	// travel is how long requests are on their way to the engines.
	travel travel
	// emptied are the failure domains that get nothing new.
	emptied emptied
	// cold counts what endpoints get that have just started.
	cold cold
	// paces is how quickly the engines work.
	paces paces
	// suspicion is what shows that endpoints have stopped.
	suspicion suspicion
	// checks are how all endpoints are checked when some have stopped.
	checks checkState
	// returning is the work that was cut and comes back.
	returning returning
	// notices has what endpoints say of themselves.
	notices *notice.Book
	// rates are the rate limits that endpoints name.
	rates rates
	// passedOver counts the endpoints that decisions passed over as they backed off or were at
	// their rate limits, and unavailable the requests that were refused as no endpoint took
	// any.
	passedOver  int64
	unavailable int64
	// plain states that the service's endpoints are no engines.
	plain bool
}

// placed is an attempt that has a place.
type placed struct {
	instance string
	// born is when the life of the endpoint started that the place is at; zero when
	// that is not known.
	born time.Time
	// readers are the endpoints that help to read the prompt.
	readers []string
	// at is when the place was given, and first the predicted time from then to
	// the first event.
	at    time.Time
	first time.Duration
	// begun states that the first event has come.
	begun bool
	// work is what comes back if the attempt is cut.
	work work
	// entry names the instance that has the attempt.
	entry string
	// suspectedAt is when its entry last said that it is silent, and silentSince since
	// when it is. Moved states that the entry was told to move it.
	suspectedAt time.Time
	silentSince time.Time
	moved       bool
	// watched states that its entry suspects it when it is silent.
	watched bool
	// orphan is the mark of the ended session that the attempt came through;
	// zero while its entry is in touch. CutAt is when that session ended.
	orphan int64
	cutAt  time.Time
}

// endpoints returns all endpoints of the attempt, the one that answers last.
func (at *placed) endpoints() []string {
	return append(slices.Clone(at.readers), at.instance)
}

// upsert takes over the entry of an endpoint.
func (p *state) upsert(c catalog.Endpoint, svc *route.Service) {
	e, ok := p.engines[c.Instance]
	if !ok {
		e = &placement.Engine{
			Instance: c.Instance,
		}
		p.engines[c.Instance] = e
		p.health[c.Instance] = &health{
			preference: rendezvous.Score(p.self, c.Instance, 1),
			born:       c.Born,
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
	p.cold.tell(c.Instance, c.ColdUntil)
	e.Model = svc.Engine
	p.worth.SetModel(svc.Engine, svc.Usual)
	if e.Model == nil {
		p.plain = true
		e.Model = &batch.Model{}
	}
}

// prune forgets endpoints that are gone, once nothing runs there.
func (p *state) prune(service string, snap *catalog.Snapshot) {
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
		p.cold.forget(e.Instance)
		delete(p.paces.of, e.Instance)
		return true
	})
}

// share sets the parts of the retry budget. Of what may be sent again beside the
// ratio, half is for the pool's owner, which may change, and half for all
// instances that place alone. Pools without engines are always placed by each
// instance alone, so that there the instances share all of it.
func (p *state) share(whole Budget, instances int) {
	p.retry.budget = Budget{
		Ratio:  whole.Ratio * budgetShare,
		Extra:  whole.Extra * budgetShare / 2,
		Window: whole.Window,
	}
	p.alone.budget = p.retry.budget
	p.alone.budget.Extra /= float64(max(instances, 1))
	p.rates.instances = instances
	if p.plain {
		p.alone.budget.Extra *= 2
		p.retry.budget = p.alone.budget
	}
}

// budgetShare leaves a part of the budget for what is counted twice or not at
// all when owners change.
const budgetShare = 0.75

// named returns the instance of the endpoint with a name or an address; empty
// when there is none.
func (p *state) named(name string) string {
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

// end forgets an attempt.
func (p *state) end(id string) {
	at, ok := p.placed[id]
	if !ok {
		return
	}
	delete(p.placed, id)
	for _, name := range at.endpoints() {
		if e := p.engines[name]; e != nil {
			e.Remove(id)
		}
	}
}

// usable returns the endpoints that a request may be placed on. When all of them
// failed of late, it returns them all the same: the reports may be wrong.
func (p *state) usable(w *Waiter, now time.Time) []*placement.Engine {
	out := make([]*placement.Engine, 0, len(p.list))
	v := p.notices.View()
	var failed []*placement.Engine
	for _, e := range p.list {
		switch {
		case p.barred(w, e, v) || p.availableAt(w, e, v).After(now):
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
func (p *state) admit(a PlacementRequest, alone bool, now time.Time) *Refusal {
	if !a.Retry {
		p.retry.first(now)
		p.alone.first(now)
		return nil
	}
	spender := &p.retry
	if alone {
		spender = &p.alone
	}
	if spender.again(now) {
		return nil
	}
	return &Refusal{
		Reason:     "retry budget is spent",
		RetryAfter: retryAfter,
	}
}

// retryAfter is when to come back when nothing better is known.
const retryAfter = 500 * time.Millisecond

// begin corrects the model by an attempt's first event. It returns how much later that
// was than the model said.
func (p *state) begin(id string, at *placed, now time.Time) time.Duration {
	if p.plain {
		return 0
	}
	late := time.Duration(0)
	if e := p.engines[at.instance]; e != nil {
		late = e.Observe(id, now)
	}
	for _, name := range at.readers {
		if e := p.engines[name]; e != nil {
			e.FinishPart(id, now)
		}
	}
	return late
}
