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

	"github.com/linkmast/linkmast/placement"
)

// The measures of checking all endpoints of a pool.
const (
	// minCorrelatedStops is how many endpoints must be found to have stopped within
	// togetherWithin for the others to be checked: more than one at a moment has a cause in
	// common, and those on which nobody waits for an event show nothing.
	minCorrelatedStops = 2
	correlationWindow  = 300 * time.Millisecond
	// checkTimeout bounds a check: many round trips. checkInterval bounds how often all are
	// checked.
	checkTimeout  = 50 * time.Millisecond
	checkInterval = time.Second
	// verifyInterval bounds how often it is looked whether a silent endpoint is there, and how
	// long it is taken to be busy once it was.
	verifyInterval = time.Second
	// recheckInterval is how often an endpoint is checked that is not there, and maxAbsence how
	// long it is left out for that: the link of this instance may be at fault.
	recheckInterval = 300 * time.Millisecond
	maxAbsence      = 5 * time.Second
	// maxConcurrentChecks bounds the connections that a check has open, so that an instance before
	// thousands of engines doesn't run out of descriptors. Before 1,000 engines the busiest
	// of 100 instances had 263 connections with it and 932 without (one run each). As many
	// that don't answer are looked at in checkWithin.
	maxConcurrentChecks = 128
	// maxUnansweredShare is the part of the endpoints that may leave a check unanswered for it
	// to count. With more, this instance's own links are at fault.
	maxUnansweredShare = 0.75
)

// checkState are how the endpoints of a pool are checked. The zero value is ready for use.
type checkState struct {
	// found are when endpoints were found to have stopped, by instance.
	found map[string]time.Time
	// at is when all were last checked, and again states that those are checked again that
	// are not there.
	at    time.Time
	again bool
	// checked counts the endpoints that were checked, and failed those that did not answer.
	checked int
	failed  int
}

// recordStopped notes that an endpoint was found to have stopped, and states whether the
// others are to be checked.
func (c *checkState) recordStopped(instance string, now time.Time) bool {
	if c.found == nil {
		c.found = make(map[string]time.Time)
	}
	c.found[instance] = now
	maps.DeleteFunc(c.found, func(_ string, at time.Time) bool { return now.Sub(at) > correlationWindow })
	if len(c.found) < minCorrelatedStops || !c.at.IsZero() && now.Sub(c.at) < checkInterval {
		return false
	}
	c.at = now
	return true
}

// checkAll checks the endpoints of a pool that have not been set aside, if one was found to
// have stopped soon after another. The caller holds the lock.
func (s *Scheduler) checkAll(p *poolState, service, found string, now time.Time) {
	if s.settings.Check == nil || !p.checks.recordStopped(found, now) {
		return
	}
	addresses := p.addresses(func(h *endpointHealth) bool { return h.usable(now) })
	p.checks.checked += len(addresses)
	go s.check(service, addresses)
}

// addresses returns the addresses of the endpoints that take part, of those whose health
// is as wanted, by instance.
func (p *poolState) addresses(wanted func(h *endpointHealth) bool) map[string]string {
	out := make(map[string]string)
	for _, e := range p.list {
		if p.acceptsRequests(e) && wanted(p.health[e.Instance]) {
			out[e.Instance] = e.Address
		}
	}
	return out
}

// acceptsRequests states whether an endpoint gets requests when it is well: it does not leave,
// and its failure domain is not emptied as far as this instance knows. Others are not
// asked for anything either.
func (p *poolState) acceptsRequests(e *placement.Engine) bool {
	return !p.isLeaving(e, p.notices.View()) && !p.drained.excludes(&PlacementRequest{}, e)
}

// check checks endpoints, given by instance with their address.
func (s *Scheduler) check(service string, addresses map[string]string) {
	failed := s.runChecks(addresses)
	lost := 0
	for _, err := range failed {
		if !errors.Is(err, syscall.ECONNREFUSED) {
			lost++
		}
	}
	trusted := float64(lost) <= maxUnansweredShare*float64(len(addresses))
	if !trusted {
		s.log.Info("check of endpoints not trusted", "service", service, "checked", len(addresses), "failed", len(failed))
	}
	for instance, err := range failed {
		if trusted || errors.Is(err, syscall.ECONNREFUSED) {
			s.handleFailedCheck(service, instance, err)
		}
	}
}

// verify looks whether an endpoint is there of which instances agree that it is silent: one
// that is busy takes connections still. It guards against streams that leave engines which
// work, but whose passes have grown long as many callers came back. The caller holds the
// lock.
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
	instance := e.Instance
	addresses := map[string]string{
		instance: e.Address,
	}
	go func() {
		failed := s.runChecks(addresses)
		s.mu.Lock()
		defer s.mu.Unlock()
		now := s.settings.Now()
		if failed[instance] != nil {
			s.handleStopped(p, service, instance, silent, now)
			return
		}
		h.answeredAt = now
	}()
}

// answeredRecently states whether the endpoint is busy rather than gone, as it took a connection
// just now.
func (h *endpointHealth) answeredRecently(now time.Time) bool {
	return !h.answeredAt.IsZero() && now.Sub(h.answeredAt) < verifyInterval
}

// runChecks returns the endpoints that don't answer, with the cause.
func (s *Scheduler) runChecks(addresses map[string]string) map[string]error {
	var (
		mu     sync.Mutex
		failed = make(map[string]error)
		wait   errgroup.Group
	)
	wait.SetLimit(maxConcurrentChecks)
	for instance, address := range addresses {
		wait.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
			defer cancel()
			if err := s.settings.Check(ctx, address); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed[instance] = err
			}
			return nil
		})
	}
	// What fails is in failed.
	_ = wait.Wait()
	return failed
}

// handleFailedCheck leaves an endpoint out that did not answer a check, unless a stream there has
// a sign of life, and has its attempts move.
func (s *Scheduler) handleFailedCheck(service, instance string, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(service)
	now := s.settings.Now()
	h := p.health[instance]
	if h == nil || !h.usable(now) || p.hasLiveStream(instance, now) {
		return
	}
	p.checks.failed++
	s.exclude(p, service, instance, now)
	n := s.migrateAll(p, service, instance, now)
	s.log.Info("endpoint does not answer", "service", service, "endpoint", instance, "cause", cause.Error(), "moved", n)
}

// usable states whether the endpoint may get a request.
func (h *endpointHealth) usable(now time.Time) bool {
	if !h.absentSince.IsZero() && now.Sub(h.absentSince) < maxAbsence {
		return false
	}
	return h.shared.usable(now)
}

// excluded states whether an engine is left out or set aside, so that the work of the pool
// is spread over the others. It guards against a price that engines which have stopped,
// counted as idle, halve while the others are full.
func (p *poolState) excluded(e *placement.Engine, now time.Time) bool {
	h := p.health[e.Instance]
	return h != nil && !h.usable(now)
}

// exclude leaves an endpoint out that has stopped: until it answers a check, or for a
// while where endpoints are not checked. The caller holds the lock.
func (s *Scheduler) exclude(p *poolState, service, instance string, now time.Time) {
	h := p.health[instance]
	if s.settings.Check == nil {
		h.shared.note(Unreachable, now)
		return
	}
	h.absentSince = now
	if !p.checks.again {
		p.checks.again = true
		time.AfterFunc(recheckInterval, func() { s.recheck(service) })
	}
}

// recheck checks the endpoints that are not there, and again while there are any.
func (s *Scheduler) recheck(service string) {
	s.mu.Lock()
	p := s.pool(service)
	addresses := p.addresses(func(h *endpointHealth) bool { return !h.absentSince.IsZero() })
	p.checks.again = len(addresses) > 0
	p.checks.checked += len(addresses)
	s.mu.Unlock()
	if len(addresses) == 0 {
		return
	}
	failed := s.runChecks(addresses)
	for instance := range addresses {
		if failed[instance] == nil {
			s.readmit(service, instance)
		}
	}
	time.AfterFunc(recheckInterval, func() { s.recheck(service) })
}

// readmit takes an endpoint back that answers a check.
func (s *Scheduler) readmit(service, instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(service)
	h := p.health[instance]
	if h == nil || h.absentSince.IsZero() {
		return
	}
	now := s.settings.Now()
	s.log.Info("endpoint answers again", "service", service, "endpoint", instance,
		"after_ms", now.Sub(h.absentSince).Milliseconds())
	h.absentSince = time.Time{}
	h.shared = ejectionRecord{}
	s.wakeUp()
}

// hasLiveStream states whether a stream that an endpoint answers has a sign of life.
func (p *poolState) hasLiveStream(instance string, now time.Time) bool {
	for id, at := range p.attempts {
		if at.instance == instance && p.signalOf(id, at, now) == signalAlive {
			return true
		}
	}
	return false
}
