// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/notice"
	"github.com/linkmast/linkmast/placement"
	"github.com/linkmast/linkmast/quarantine"
	"github.com/linkmast/linkmast/worth"
)

// Settings are the measures of a Scheduler.
type Settings struct {
	// Self names the instance.
	Self string
	// Retries bounds how many requests are sent again; the zero value allows
	// none.
	Retries Budget
	// Cold bounds what endpoints get that are cold; the zero value sets no bound.
	Cold ColdLimit
	// SlowdownQuerier asks engines for their pace; without it that is learned alone.
	SlowdownQuerier SlowdownQuerier
	// SlowdownMode is how the pace of engines becomes known; for comparisons.
	SlowdownMode SlowdownMode
	// Check opens a connection to an endpoint, to see whether it is there; nil means that
	// endpoints are not checked.
	Check quarantine.Checker
	// Worth says what answers are worth.
	Worth worth.Settings
	// Quarantine is what is known of requests that crash endpoints; the default is an empty
	// book.
	Quarantine *quarantine.Registry
	// Notices is what endpoints say of themselves; the default is an empty book.
	Notices *notice.Registry
	// Now returns the time; the default is steady.Now.
	Now func() time.Time
	// Draw returns a random time below one that is greater than zero; the default is
	// that of the process's generator.
	Draw func(below time.Duration) time.Duration
}

// Scheduler places requests by what was placed through it. It implements
// Placer. Run must be running.
type Scheduler struct {
	settings Settings
	log      logr.Logger

	mu sync.Mutex
	// pools are the services' states by name.
	pools map[string]*poolState
	// wake gets a value when there may be something to review.
	wake chan struct{}
	// lastOrphanMark counts the sessions that ended.
	lastOrphanMark int64
	// notifyMove are what tells entries which of their attempts are to move.
	notifyMove map[string]*func(migration)
}

// NewScheduler returns a scheduler without endpoints.
func NewScheduler(s Settings, log logr.Logger) *Scheduler {
	if s.Now == nil {
		s.Now = steady.Now
	}
	if s.Draw == nil {
		s.Draw = rand.N[time.Duration]
	}
	if s.Quarantine == nil {
		s.Quarantine = quarantine.New(s.Now, nil, log)
	}
	if s.Notices == nil {
		s.Notices = notice.New(s.Now, log)
	}
	return &Scheduler{
		settings:   s,
		log:        log,
		pools:      make(map[string]*poolState),
		wake:       make(chan struct{}, 1),
		notifyMove: make(map[string]*func(migration)),
	}
}

// Notices returns what endpoints say of themselves.
func (s *Scheduler) Notices() *notice.Registry {
	return s.settings.Notices
}

// Update takes over the endpoints that are known.
func (s *Scheduler) Update(snap *catalog.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range snap.Endpoints {
		svc := snap.Table.Services[e.Service]
		if svc == nil {
			continue
		}
		p := s.pool(e.Service)
		if ended, again := p.detectRestart(e); again {
			s.log.Info("endpoint has started again", "service", e.Service, "endpoint", e.Instance, "born", e.StartedAt, "ended", ended)
		}
		p.upsert(e, svc)
	}
	for name, p := range s.pools {
		p.prune(name, snap)
		p.cold.configure(s.settings.Cold, snap.Table.Services[name], s.settings.Self, snap.Peers)
		p.cold.undrained(p.list, p.drained, snap.Drained, s.settings.Now())
		p.drained = snap.Drained
		p.shareRetryBudget(s.settings.Retries, len(snap.Peers))
	}
}

// pool returns the state of a service. The caller holds the lock.
func (s *Scheduler) pool(service string) *poolState {
	p, ok := s.pools[service]
	if !ok {
		p = &poolState{
			self:     s.settings.Self,
			engines:  make(map[string]*placement.Engine),
			health:   make(map[string]*endpointHealth),
			attempts: make(map[string]*attempt),
			worth:    worth.New(s.settings.Worth),
			notices:  s.settings.Notices,
		}
		s.pools[service] = p
	}
	return p
}

// Place implements Placer.
func (s *Scheduler) Place(ctx context.Context, a PlacementRequest) (Grant, error) {
	return s.place(ctx, a, false)
}

// place returns a place. An instance that is alone because no owner of the pool
// is in touch has only its part of the retry budget.
func (s *Scheduler) place(ctx context.Context, a PlacementRequest, alone bool) (Grant, error) {
	return s.placeFor(ctx, a, s.settings.Self, alone)
}

// placeFor returns a place for an entry's request.
func (s *Scheduler) placeFor(ctx context.Context, a PlacementRequest, entry string, alone bool) (Grant, error) {
	w := s.submitFor(a, entry, alone)
	select {
	case g := <-w.granted:
		return g, nil
	case r := <-w.refused:
		return Grant{}, r
	case <-ctx.Done():
		s.Withdraw(w)
		return Grant{}, ctx.Err()
	}
}

// Submit takes a request without waiting for the decision, which may be there at once or
// after a Review.
func (s *Scheduler) Submit(a PlacementRequest) *Waiter {
	return s.submit(a, false)
}

// submit takes a request: it is placed or refused at once, or waits in the queue.
func (s *Scheduler) submit(a PlacementRequest, alone bool) *Waiter {
	return s.submitFor(a, s.settings.Self, alone)
}

// submitFor takes an entry's request.
func (s *Scheduler) submitFor(a PlacementRequest, entry string, alone bool) *Waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.settings.Now()
	p := s.pool(a.Service)
	p.refusedCallers.recognize(&a, now)
	if !a.Returning && !a.Retry {
		p.worth.Observe(a.kind())
	}
	s.evaluateIfDue(p, a.Service, now)
	w := s.newWaiter(p, a, now)
	w.entry, w.fallback = entry, alone
	s.noteFallback(p, alone, now)
	if r := p.refuseReplacement(a.Replaces, now); r != nil {
		w.refused <- r
		return w
	}
	if r := p.admit(a, alone, now); r != nil {
		w.refused <- r
		return w
	}
	p.reconnects.match(w, now)
	w.request.TransitTime = p.transit.time
	s.updateSlowdowns(p, now)
	s.decide(p, w, now)
	return w
}

// decide places or refuses a request that has come, or lets it wait in the queue. The
// caller holds the lock.
func (s *Scheduler) decide(p *poolState, w *Waiter, now time.Time) {
	if g, ok := s.tryPlace(p, w, now); ok {
		w.granted <- g
		return
	}
	if r := s.refuse(p, w, p.backlogBefore(w, now), now); r != nil {
		s.recordRefusal(p, w, r, now)
		w.refused <- r
		return
	}
	p.queue = append(p.queue, w)
	s.wakeUp()
}

// recordRefusal notes a refusal and writes its line.
func (s *Scheduler) recordRefusal(p *poolState, w *Waiter, r *Refusal, now time.Time) {
	work := p.engineTime(w)
	p.price.note(work, w.remainingWorth(), now)
	p.refusedCallers.add(w, now)
	usable := p.usable(w, now)
	used, slots := slotUsage(usable)
	s.log.Info("refuse", "attempt", w.ask.ID, "service", w.ask.Service, "prompt", w.ask.Prompt, "reason", r.Reason,
		"after_ms", r.RetryAfter.Milliseconds(), "waited_ms", now.Sub(w.arrived).Milliseconds(), "queue", len(p.queue),
		"endpoints", len(usable), "withheld", p.withheld(w, now), "running", used, "slots", slots, "worth", w.request.Worth,
		"returning", w.ask.Returning, "rank", w.ask.Rank, "route_rank", w.ask.RouteRank,
		"work_ms", work.Milliseconds(), "price", p.priceNow(now))
}

// First implements Placer.
func (s *Scheduler) First(id, service string) {
	s.FirstEventFrom(id, service, s.settings.Self)
}

// FirstEventFrom takes over the first event of an attempt, as an instance reports it.
func (s *Scheduler) FirstEventFrom(id, service, reporter string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(service)
	at, ok := p.attempts[id]
	if !ok || at.begun {
		return
	}
	now := s.settings.Now()
	at.begun = true
	p.predictions.add(at.predictedFirst, now.Sub(at.placedAt))
	if p.atModelSpeed(at) {
		p.transit.observe(now.Sub(at.placedAt) - at.predictedFirst)
	}
	late := p.applyFirstEvent(id, at, now)
	s.recordFirstEvent(p, at, late, now)
	for _, name := range at.endpoints() {
		if h := p.health[name]; h != nil {
			h.markAlive(reporter == s.settings.Self)
		}
	}
}

// End implements Placer.
func (s *Scheduler) End(id, service string, o Outcome, culprit string) {
	s.EndFrom(id, service, o, culprit, s.settings.Self)
}

// EndFrom takes over how an attempt ended, as an instance reports it.
func (s *Scheduler) EndFrom(id, service string, o Outcome, culprit, reporter string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(service)
	at, ok := p.attempts[id]
	if !ok {
		return
	}
	now := s.settings.Now()
	if o == Silent && (at.moved || p.silenceExpected(id, at, now)) {
		// What showed that the endpoint is silent has been counted, or is no fault.
		o = Abandoned
	}
	if o == Abandoned || o == Failed {
		p.reconnects.note(at, now)
	}
	p.endAttempt(id)
	instance := at.instance
	if culprit != "" {
		instance = p.resolve(culprit)
	}
	h := p.health[instance]
	if h == nil {
		return
	}
	if h.note(o, reporter, reporter == s.settings.Self, now) {
		s.log.Info("endpoint set aside", "service", service, "endpoint", instance, "outcome", o.String(),
			"failures", h.shared.failures, "for_ms", h.shared.until.Sub(now).Milliseconds(), "attempt", id,
			"reporter", reporter)
		if o == Unreachable {
			s.handleUnreachable(p, service, instance, now)
		}
	}
	s.wakeUp()
}

// UnusableEndpoints returns the endpoints that this instance's own requests can't use
// now.
func (s *Scheduler) UnusableEndpoints(service string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(service)
	now := s.settings.Now()
	var out []string
	for name, h := range p.health {
		if !h.own.usable(now) {
			out = append(out, name)
		}
	}
	return out
}
