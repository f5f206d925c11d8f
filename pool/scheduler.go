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

// Settings configures a Scheduler.
type Settings struct {
	// Self names this instance.
	Self string
	// Retries is the retry budget of each service; the zero value allows no retries.
	Retries Budget
	// Cold limits the requests to each cold endpoint; the zero value sets no limit.
	Cold ColdLimit
	// SlowdownQuerier queries engines for their slowdown. If it is nil, slowdowns are only
	// estimated from events.
	SlowdownQuerier SlowdownQuerier
	// SlowdownMode selects how slowdowns are determined.
	SlowdownMode SlowdownMode
	// Check opens a connection to an endpoint to find out whether it is reachable; nil disables
	// these checks.
	Check quarantine.Checker
	// Worth configures the worth of requests.
	Worth worth.Settings
	// Quarantine holds the requests that crash endpoints; the default is an empty registry.
	Quarantine *quarantine.Registry
	// Notices holds what endpoints have announced in their answers; the default is an empty
	// registry.
	Notices *notice.Registry
	// Now returns the current time; the default is steady.Now.
	Now func() time.Time
	// Draw returns a random duration below the given one, which must be positive; the default
	// uses the global generator of math/rand/v2.
	Draw func(below time.Duration) time.Duration
}

// Scheduler places the requests of all services. It models the load of each endpoint from the
// attempts that it placed or adopted. It implements Placer. Queued requests are decided only by
// Run or Review.
type Scheduler struct {
	settings Settings
	log      logr.Logger

	mu sync.Mutex
	// processes holds the known processes of all instances.
	processes processes
	// pools holds the state of each service by name.
	pools map[string]*poolState
	// wake receives a value when Run has to review the queued requests.
	wake chan struct{}
	// lastOrphanMark is the orphanMark of the session that ended last.
	lastOrphanMark int64
	// notifyMigrate holds, by entry instance, the function that sends it migrations.
	notifyMigrate map[string]*func(migration)
}

// NewScheduler returns a scheduler that knows no endpoints.
func NewScheduler(s Settings, log logr.Logger) *Scheduler {
	if s.Now == nil {
		s.Now = steady.Now
	}
	if s.Draw == nil {
		s.Draw = rand.N[time.Duration]
	}
	if s.Quarantine == nil {
		s.Quarantine = quarantine.New(s.Now, quarantine.Dependencies{}, log)
	}
	if s.Notices == nil {
		s.Notices = notice.New(s.Now, log)
	}
	self := process{
		instance: s.Self,
		id:       rand.Uint64(),
	}
	return &Scheduler{
		settings:      s,
		processes:     newProcesses(self, s.Now()),
		log:           log,
		pools:         make(map[string]*poolState),
		wake:          make(chan struct{}, 1),
		notifyMigrate: make(map[string]*func(migration)),
	}
}

// Notices returns the registry of the endpoints' announcements.
func (s *Scheduler) Notices() *notice.Registry {
	return s.settings.Notices
}

// Update applies a snapshot of the catalog: its services, endpoints, instances and drained
// failure domains.
func (s *Scheduler) Update(snap *catalog.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range snap.Endpoints {
		svc := snap.Table.Services[e.Service]
		if svc == nil {
			continue
		}
		p := s.pool(e.Service)
		if ended, restarted := p.detectRestart(e); restarted {
			s.log.Info("endpoint has started again", "service", e.Service, "endpoint", e.Instance, "born", e.StartedAt, "ended", ended)
		}
		p.upsert(e, svc)
	}
	s.processes.list(snap.Peers, s.settings.Now())
	for name, p := range s.pools {
		p.prune(name, snap)
		p.cold.configure(s.settings.Cold, snap.Table.Services[name], s.settings.Self, snap.Peers)
		p.cold.undrained(p.list, p.drained, snap.Drained, s.settings.Now())
		p.drained = snap.Drained
		p.rateLimits.instances = len(snap.Peers)
	}
	s.expireProcesses()
}

// pool returns the state of a service and creates it if necessary. The caller must hold s.mu.
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
			retries:  newRetryLedger(s.settings.Retries, s.settings.Now()),
		}
		s.pools[service] = p
	}
	return p
}

// Place implements Placer.
func (s *Scheduler) Place(ctx context.Context, a PlacementRequest) (Grant, error) {
	return s.place(ctx, a, false)
}

// place places a request of this instance. Fallback, as described at Waiter.fallback, means that
// the instance may use only its share of the endpoints' limits.
func (s *Scheduler) place(ctx context.Context, a PlacementRequest, fallback bool) (Grant, error) {
	return s.placeFor(ctx, a, s.settings.Self, fallback)
}

// placeFor places a request of the given entry instance and waits for the decision. It
// withdraws the request when ctx ends.
func (s *Scheduler) placeFor(ctx context.Context, a PlacementRequest, entry string, fallback bool) (Grant, error) {
	w := s.submitFor(a, entry, fallback)
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

// Submit submits a request and doesn't wait for the decision, which may be available at once or
// after a Review.
func (s *Scheduler) Submit(a PlacementRequest) *Waiter {
	return s.submit(a, false)
}

// submit places, refuses or queues a request of this instance.
func (s *Scheduler) submit(a PlacementRequest, fallback bool) *Waiter {
	return s.submitFor(a, s.settings.Self, fallback)
}

// submitFor places, refuses or queues a request of the given entry instance.
func (s *Scheduler) submitFor(a PlacementRequest, entry string, fallback bool) *Waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.settings.Now()
	p := s.pool(a.Service)
	p.refusedCallers.recognize(&a, now)
	if !a.Returning && !a.Retry {
		p.worth.Observe(a.worthRequest())
	}
	s.evaluateIfDue(p, a.Service, now)
	w := s.newWaiter(p, a, now)
	w.entry, w.fallback = entry, fallback
	s.recordFallback(p, fallback, now)
	if r := p.refuseReplacement(a.Replaces, now); r != nil {
		w.refused <- r
		return w
	}
	if r := s.admit(p, w, now); r != nil {
		w.refused <- r
		return w
	}
	p.reconnects.match(w, now)
	w.request.TransitTime = p.transit.time
	s.updateSlowdowns(p, now)
	s.decide(p, w, now)
	return w
}

// decide places, refuses or queues a new request. The caller must hold s.mu.
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

// recordRefusal updates the price and the record of refused callers, and logs the refusal. The
// caller must hold s.mu.
func (s *Scheduler) recordRefusal(p *poolState, w *Waiter, r *Refusal, now time.Time) {
	work := p.engineTime(w)
	p.settleRetry(w)
	p.price.record(work, w.remainingWorth(), now)
	p.refusedCallers.add(w, now)
	usable := p.usable(w, now)
	used, slots := slotUsage(usable)
	s.log.Info("refuse", "attempt", w.placementRequest.ID, "service", w.placementRequest.Service, "prompt", w.placementRequest.Prompt, "reason", r.Reason,
		"after_ms", r.RetryAfter.Milliseconds(), "waited_ms", now.Sub(w.arrived).Milliseconds(), "queue", len(p.queue),
		"endpoints", len(usable), "withheld", p.withheld(w, now), "running", used, "slots", slots, "worth", w.request.Worth,
		"returning", w.placementRequest.Returning, "rank", w.placementRequest.Rank, "route_rank", w.placementRequest.RouteRank,
		"work_ms", work.Milliseconds(), "price", p.priceNow(now))
}

// FirstEvent implements Placer.
func (s *Scheduler) FirstEvent(id, service string) {
	s.FirstEventFrom(id, service, s.settings.Self)
}

// FirstEventFrom records the first event of an attempt, as reported by the given instance.
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

// EndFrom records the end of an attempt, as reported by the given instance. Culprit is the name or
// the address of the endpoint at fault; if it is empty, the endpoint that answers the attempt is at
// fault.
func (s *Scheduler) EndFrom(id, service string, o Outcome, culprit, reporter string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(service)
	at, ok := p.attempts[id]
	if !ok {
		return
	}
	now := s.settings.Now()
	if o == Silent && (at.migrating || p.silenceExpected(id, at, now)) {
		// The endpoint was already excluded when the migration was ordered, or the engine models
		// explain the silence.
		o = Abandoned
	}
	if o == Abandoned || o == Failed {
		p.reconnects.recordInterrupted(at, now)
	}
	if o == Unused || o == Unreachable {
		s.uncountRetry(p, at, now)
	}
	p.endAttempt(id)
	endpoint := at.endpoint
	if culprit != "" {
		endpoint = p.resolve(culprit)
	}
	h := p.health[endpoint]
	if h == nil {
		return
	}
	if h.record(o, reporter, reporter == s.settings.Self, now) {
		s.log.Info("endpoint ejected", "service", service, "endpoint", endpoint, "outcome", o.String(),
			"failures", h.shared.failures, "for_ms", h.shared.until.Sub(now).Milliseconds(), "attempt", id,
			"reporter", reporter)
		if o == Unreachable {
			s.handleUnreachable(p, service, endpoint, now)
		}
	}
	s.wakeUp()
}

// UnusableEndpoints returns the endpoints of a service that are ejected at present because of the
// outcomes of this instance's own requests.
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
