// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"context"
	"maps"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/linkmast/linkmast/internal/tcp"
	"github.com/linkmast/linkmast/placement"
)

// Parameters of the checks of endpoints.
const (
	// If minCorrelatedStops endpoints stop within correlationWindow, there is probably a common
	// cause, and all usable endpoints of the pool are checked. Some of them may have stopped without
	// a sign, because no attempt there waits for an event.
	minCorrelatedStops = 2
	correlationWindow  = 300 * time.Millisecond
	// checkTimeout bounds the check of one endpoint, and checkInterval is the least time between
	// two checks of a whole pool.
	checkTimeout  = 50 * time.Millisecond
	checkInterval = time.Second
	// verifyInterval is the least time between two verifications of an endpoint. An endpoint that
	// passed one counts as busy, not as stopped, for the same time.
	verifyInterval = time.Second
	// recheckInterval is the time between two checks of an excluded endpoint. maxAbsence bounds the
	// exclusion of an endpoint that does not answer, as the fault may lie in this instance's
	// network.
	recheckInterval = 300 * time.Millisecond
	maxAbsence      = 5 * time.Second
	// maxConcurrentChecks bounds the connections that one call of runChecks opens at the same time,
	// so that a pool of thousands of engines does not exhaust the file descriptors. Before 1,000
	// engines, the busiest of 100 instances had 263 connections with it, and 932 without.
	maxConcurrentChecks = 128
	// maxUnansweredShare is the largest share of the endpoints that may fail a check of the whole
	// pool other than by refusing the connection. If more do, the fault is assumed to lie in this
	// instance's network and these failures are ignored.
	maxUnansweredShare = 0.75
)

// checkState is the state of the checks of a pool. The zero value is ready for use.
type checkState struct {
	// stoppedAt has the time at which each endpoint was last found to have stopped.
	stoppedAt map[string]time.Time
	// lastFullCheck is the time of the last check of the whole pool. rechecking is set while
	// excluded endpoints are rechecked.
	lastFullCheck time.Time
	rechecking    bool
	// checked counts the endpoints in all checks, and failed those that a check of the whole pool
	// excluded.
	checked int
	failed  int
}

// recordStopped records that an endpoint has stopped, and reports whether the others should be
// checked now.
func (c *checkState) recordStopped(endpoint string, now time.Time) bool {
	if c.stoppedAt == nil {
		c.stoppedAt = make(map[string]time.Time)
	}
	c.stoppedAt[endpoint] = now
	maps.DeleteFunc(c.stoppedAt, func(_ string, at time.Time) bool { return now.Sub(at) > correlationWindow })
	if len(c.stoppedAt) < minCorrelatedStops || !c.lastFullCheck.IsZero() && now.Sub(c.lastFullCheck) < checkInterval {
		return false
	}
	c.lastFullCheck = now
	return true
}

// checkAll records that an endpoint has stopped, and starts a check of all usable endpoints of the
// pool if several have stopped at about the same time. The caller must hold s.mu.
func (s *Scheduler) checkAll(p *poolState, service, stopped string, now time.Time) {
	if s.settings.Check == nil || !p.checks.recordStopped(stopped, now) {
		return
	}
	addresses := p.addresses(func(h *endpointHealth) bool { return h.usable(now) })
	p.checks.checked += len(addresses)
	go s.check(service, addresses)
}

// addresses returns the addresses, by name, of the endpoints that accept requests and whose health
// satisfies the condition.
func (p *poolState) addresses(wanted func(h *endpointHealth) bool) map[string]string {
	out := make(map[string]string)
	for _, e := range p.list {
		if p.acceptsRequests(e) && wanted(p.health[e.Instance]) {
			out[e.Instance] = e.Address
		}
	}
	return out
}

// acceptsRequests reports whether an endpoint may get requests at all: it is not leaving, and its
// failure domain is not drained as far as this instance knows. Other endpoints are neither checked
// nor queried.
func (p *poolState) acceptsRequests(e *placement.Engine) bool {
	return !p.isLeaving(e, p.notices.View()) && !p.drained.covers(&PlacementRequest{}, e)
}

// check connects to endpoints, given as addresses by name, and calls handleFailedCheck for those
// that fail. If more than maxUnansweredShare of the endpoints fail other than by refusing the
// connection, it does so only for those that refuse it.
func (s *Scheduler) check(service string, addresses map[string]string) {
	failed := s.runChecks(addresses)
	unanswered := 0
	for _, err := range failed {
		if !errors.Is(err, syscall.ECONNREFUSED) {
			unanswered++
		}
	}
	trusted := float64(unanswered) <= maxUnansweredShare*float64(len(addresses))
	if !trusted {
		s.log.Info("check of endpoints not trusted", "service", service, "checked", len(addresses), "failed", len(failed))
	}
	for endpoint, err := range failed {
		if trusted || errors.Is(err, syscall.ECONNREFUSED) {
			s.handleFailedCheck(service, endpoint, err)
		}
	}
}

// verify connects to an endpoint on which several instances have silent attempts, and excludes it
// if it does not answer. If it accepts the connection, it is only busy, for example with long
// passes, and keeps its streams. Where endpoints are not checked, it is excluded at once. The
// caller must hold s.mu.
func (s *Scheduler) verify(p *poolState, service string, e *placement.Engine, silent int, now time.Time) {
	h := p.health[e.Instance]
	switch {
	case !h.usable(now) || now.Sub(h.verifiedAt) < verifyInterval:
		return
	case s.settings.Check == nil:
		s.handleStopped(p, service, e.Instance, silent, now)
		return
	case !p.acceptsRequests(e):
		return
	}
	h.verifiedAt = now
	p.checks.checked++
	endpoint := e.Instance
	addresses := map[string]string{
		endpoint: e.Address,
	}
	go func() {
		failed := s.runChecks(addresses)
		s.mu.Lock()
		defer s.mu.Unlock()
		now := s.settings.Now()
		if failed[endpoint] != nil {
			s.handleStopped(p, service, endpoint, silent, now)
			return
		}
		h.answeredAt = now
	}()
}

// answeredRecently reports whether the endpoint passed a verification within verifyInterval.
func (h *endpointHealth) answeredRecently(now time.Time) bool {
	return !h.answeredAt.IsZero() && now.Sub(h.answeredAt) < verifyInterval
}

// runChecks connects to all given endpoints and returns the errors of those that fail, by name. An
// endpoint does not fail if there is no path to any, unless it refuses the connection.
func (s *Scheduler) runChecks(addresses map[string]string) map[string]error {
	var (
		mu     sync.Mutex
		failed = make(map[string]error)
		wait   errgroup.Group
	)
	wait.SetLimit(maxConcurrentChecks)
	for endpoint, address := range addresses {
		wait.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
			defer cancel()
			if err := s.settings.Check(ctx, address); err != nil && !tcp.Inconclusive(err) {
				mu.Lock()
				defer mu.Unlock()
				failed[endpoint] = err
			}
			return nil
		})
	}
	// The goroutines store their errors in failed and return nil.
	_ = wait.Wait()
	return failed
}

// handleFailedCheck excludes an endpoint that failed a check of the whole pool and migrates its
// attempts, unless one of its streams is alive.
func (s *Scheduler) handleFailedCheck(service, endpoint string, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(service)
	now := s.settings.Now()
	h := p.health[endpoint]
	if h == nil || !h.usable(now) || p.hasLiveStream(endpoint, now) {
		return
	}
	p.checks.failed++
	s.exclude(p, service, endpoint, now)
	n := s.migrateAll(p, service, endpoint, now)
	s.log.Info("endpoint does not answer", "service", service, "endpoint", endpoint, "cause", cause.Error(), "moved", n)
}

// usable reports whether the endpoint may get a request: it is neither excluded, nor ejected for
// all instances, nor running a probe request.
func (h *endpointHealth) usable(now time.Time) bool {
	if !h.absentSince.IsZero() && now.Sub(h.absentSince) < maxAbsence {
		return false
	}
	return h.shared.usable(now)
}

// unhealthy reports whether the health of an endpoint makes it unusable. Such endpoints do not count
// as capacity of the pool: as idle ones they would lower the price of the other engines' time.
func (p *poolState) unhealthy(e *placement.Engine, now time.Time) bool {
	h := p.health[e.Instance]
	return h != nil && !h.usable(now)
}

// exclude takes an endpoint that has stopped out of use for all requests, until it answers a check
// or a request, for at most maxAbsence. Where endpoints are not checked, it is ejected as
// unreachable instead. PlacementRequest.Exclude, in contrast, concerns a single request. The caller
// must hold s.mu.
func (s *Scheduler) exclude(p *poolState, service, endpoint string, now time.Time) {
	h := p.health[endpoint]
	if s.settings.Check == nil {
		h.shared.record(Unreachable, now)
		return
	}
	h.absentSince = now
	if !p.checks.rechecking {
		p.checks.rechecking = true
		time.AfterFunc(recheckInterval, func() { s.recheck(service) })
	}
}

// recheck checks the excluded endpoints, and schedules the next recheck while there are any.
func (s *Scheduler) recheck(service string) {
	s.mu.Lock()
	p := s.pool(service)
	addresses := p.addresses(func(h *endpointHealth) bool { return !h.absentSince.IsZero() })
	p.checks.rechecking = len(addresses) > 0
	p.checks.checked += len(addresses)
	s.mu.Unlock()
	if len(addresses) == 0 {
		return
	}
	failed := s.runChecks(addresses)
	for endpoint := range addresses {
		if failed[endpoint] == nil {
			s.readmit(service, endpoint)
		}
	}
	time.AfterFunc(recheckInterval, func() { s.recheck(service) })
}

// readmit puts an endpoint that answered a check back into use.
func (s *Scheduler) readmit(service, endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(service)
	h := p.health[endpoint]
	if h == nil || h.absentSince.IsZero() {
		return
	}
	now := s.settings.Now()
	s.log.Info("endpoint answers again", "service", service, "endpoint", endpoint,
		"after_ms", now.Sub(h.absentSince).Milliseconds())
	h.absentSince = time.Time{}
	h.shared = ejectionRecord{}
	s.wakeUp()
}

// hasLiveStream reports whether a stream served by the endpoint indicates that it is alive.
func (p *poolState) hasLiveStream(endpoint string, now time.Time) bool {
	for id, at := range p.attempts {
		if at.endpoint == endpoint && p.signalOf(id, at, now) == signalAlive {
			return true
		}
	}
	return false
}
