// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/route"
)

// service is the name of the emulated service.
const service = "engines"

// settleTime is how long a play continues after the length of the sheet. It exceeds all
// deadlines of the sheets in this package.
const settleTime = 40 * time.Second

// entryLossDelay is the time from the loss of an entry instance until the pool stops
// counting its attempts.
const entryLossDelay = 2 * time.Second

// retryBudget limits the retries in a sliding window of 10 s to 220 plus a fifth of the first
// tries in that window.
var retryBudget = pool.Budget{
	Ratio:  0.2,
	Extra:  220,
	Window: 10 * time.Second,
}

// play is one run of a sheet.
type play struct {
	sheet   *Sheet
	clock   *clock
	rng     *rand.Rand
	pool    *pool.Scheduler
	engines map[string]*engine
	// engineNames holds the names of the engines in order.
	engineNames []string
	callers     []*caller
	// pending holds the placement requests without a decision.
	pending []*pending
	// reviewScheduled is true while a timer for a review is set.
	reviewScheduled bool
	requestCount    int
	silentAttempts  int
}

// pending is a placement request with the functions that handle its decision.
type pending struct {
	waiter *pool.Waiter
	grant  func(pool.Grant)
	refuse func(*pool.Refusal)
}

// Play runs requests against a scheduler and returns the outcome of each. It sets Self,
// Retries, Now, Draw and SlowdownQuerier in settings. The same sheet, requests, settings
// and seed give the same result.
func Play(s *Sheet, requests []Request, settings pool.Settings, seed uint64) *Result {
	p := &play{
		sheet:   s,
		clock:   newClock(),
		rng:     rand.New(rand.NewPCG(seed, 1)),
		engines: make(map[string]*engine),
	}
	settings.Self = "n0"
	settings.Retries = retryBudget
	settings.Now = func() time.Time { return p.clock.now }
	settings.Draw = func(below time.Duration) time.Duration { return time.Duration(p.rng.Int64N(int64(below))) }
	settings.SlowdownQuerier = slowdownQuerier{
		play: p,
	}
	p.pool = pool.NewScheduler(settings, logr.Discard())
	p.addEngines()
	for i := range requests {
		c := newCaller(p, i, &requests[i])
		p.callers = append(p.callers, c)
		p.clock.after(c.request.At, c.start)
	}
	for i := range s.Faults {
		p.scheduleFault(&s.Faults[i])
	}
	p.clock.run(time.Duration(s.Length) + settleTime)
	return p.result()
}

// addEngines creates the engines and adds them to the scheduler.
func (p *play) addEngines() {
	e := &p.sheet.Engines
	model := e.Model()
	snap := &catalog.Snapshot{
		Table: route.New(1, nil, []route.Service{
			{Name: service, Engine: model, TypicalSize: p.sheet.typicalSize()},
		}, nil, false, route.Limits{}),
		Endpoints: make(map[string]catalog.Endpoint),
	}
	for i := range e.Count {
		name := fmt.Sprintf("e%04d", i)
		p.engineNames = append(p.engineNames, name)
		snap.Endpoints[name] = catalog.Endpoint{
			Instance: name,
			Service:  service,
			Address:  name,
			Slots:    e.Slots,
		}
		p.engines[name] = &engine{
			clock:    p.clock,
			model:    model,
			slowdown: 1,
		}
	}
	p.pool.Update(snap)
}

// scheduleFault schedules the slowdown of engines, its end, and the loss of entry instances.
func (p *play) scheduleFault(f *Fault) {
	setSlowdown := func(slowdown float64) func() {
		return func() {
			for i := range f.Engines {
				if f.Spread {
					i = i * len(p.engineNames) / f.Engines
				}
				p.engines[p.engineNames[i]].setSlowdown(slowdown)
			}
		}
	}
	p.clock.after(time.Duration(f.At), setSlowdown(f.Slowdown))
	p.clock.after(time.Duration(f.At)+time.Duration(f.For), setSlowdown(1))
	p.clock.after(time.Duration(f.At), func() {
		for _, c := range p.callers {
			if c.attempt != nil && p.rng.Float64() < f.Cut {
				c.loseEntry()
			}
		}
	})
}

// delay returns the time that n consecutive messages take without jitter.
func (p *play) delay(n int) time.Duration {
	return time.Duration(n) * time.Duration(p.sheet.Delay)
}

// jitteredDelay returns a random time for n consecutive messages, which all get the same factor.
func (p *play) jitteredDelay(n int) time.Duration {
	return time.Duration((minJitter + (maxJitter-minJitter)*p.rng.Float64()) * float64(p.delay(n)))
}

// Bounds of the factor by which jitter multiplies the delay of messages.
const (
	minJitter = 0.5
	maxJitter = 2.5
)

// submit sends a placement request to the scheduler and calls grant or refuse with the
// decision. It returns nil if the decision is available at once.
func (p *play) submit(a pool.PlacementRequest, grant func(pool.Grant), refuse func(*pool.Refusal)) *pending {
	q := &pending{
		waiter: p.pool.Submit(a),
		grant:  grant,
		refuse: refuse,
	}
	if q.deliverDecision() {
		return nil
	}
	p.pending = append(p.pending, q)
	p.scheduleReview(0)
	return q
}

// deliverDecision calls grant or refuse if the scheduler has decided, and reports whether
// it has.
func (q *pending) deliverDecision() bool {
	g, r, ok := q.waiter.Decision()
	switch {
	case !ok:
		return false
	case r != nil:
		q.refuse(r)
	default:
		q.grant(g)
	}
	return true
}

// withdraw cancels a placement request that is still queued. It does nothing if q is nil.
func (p *play) withdraw(q *pending) {
	if q == nil {
		return
	}
	p.pool.Withdraw(q.waiter)
	p.pending = slices.DeleteFunc(p.pending, func(o *pending) bool { return o == q })
}

// scheduleReview schedules a review of the queued placement requests after a delay. Reviews repeat
// while any of them is queued. It does nothing if a review is scheduled already.
func (p *play) scheduleReview(in time.Duration) {
	if p.reviewScheduled {
		return
	}
	p.reviewScheduled = true
	p.clock.after(in, func() {
		p.reviewScheduled = false
		waiting := p.pool.Review()
		left := p.pending[:0]
		for _, q := range slices.Clone(p.pending) {
			if !q.deliverDecision() {
				left = append(left, q)
			}
		}
		p.pending = left
		if waiting {
			p.scheduleReview(pool.ReviewInterval)
		}
	})
}

// reportEnd reports the outcome of an attempt to the scheduler after a delay.
func (p *play) reportEnd(c *caller, id string, o pool.Outcome, in time.Duration) {
	p.clock.after(in, func() {
		p.pool.EndFrom(id, service, o, "", c.entry())
		if len(p.pending) > 0 {
			p.scheduleReview(0)
		}
	})
}
