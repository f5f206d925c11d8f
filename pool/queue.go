// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// Review reviews the queued requests of all pools, as Run does periodically. It reports whether any
// requests remain queued.
func (s *Scheduler) Review() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.settings.Now()
	waiting := false
	for _, p := range s.pools {
		s.reviewPool(p, now)
		waiting = waiting || len(p.queue) > 0
	}
	return waiting
}

// reviewPool places or refuses the queued requests of a pool in order of urgency, or keeps them
// in the queue. The caller must hold s.mu.
func (s *Scheduler) reviewPool(p *poolState, now time.Time) {
	if len(p.queue) == 0 {
		return
	}
	slices.SortStableFunc(p.queue, func(a, b *Waiter) int {
		return cmp.Compare(a.urgency(now), b.urgency(now))
	})
	ahead := backlog{
		prefill: p.pendingPrefill(),
	}
	kept := p.queue[:0]
	for _, w := range p.queue {
		if g, ok := s.tryPlace(p, w, now); ok {
			ahead.prefill += p.prefillTime(w)
			w.granted <- g
			continue
		}
		if r := s.refuse(p, w, ahead, now); r != nil {
			s.recordRefusal(p, w, r, now)
			w.refused <- r
			continue
		}
		ahead.add(p, w)
		kept = append(kept, w)
	}
	clear(p.queue[len(kept):])
	p.queue = kept
}

// urgency returns the sort key of queued requests; the lowest goes first. It is the time in seconds
// until the request is late, plus a penalty for its rank. Late requests come after all others.
func (w *Waiter) urgency(now time.Time) float64 {
	left := w.request.TargetAt.Sub(now)
	if left <= 0 {
		left += latePenalty * time.Second
	}
	return left.Seconds() + rankPenalty*float64(w.placementRequest.Rank)
}

// Penalties of the urgency, in seconds.
const (
	// latePenalty is far above usual targets, so that late requests go last.
	latePenalty = 100
	// rankPenalty is added once for each rank.
	rankPenalty = 0.3
)

// ReviewInterval is the interval at which Run reviews queued requests. It is shorter than a
// pass of an engine.
const ReviewInterval = 15 * time.Millisecond

// Run reviews queued requests until ctx ends.
func (s *Scheduler) Run(ctx context.Context) {
	tick := time.NewTicker(ReviewInterval)
	defer tick.Stop()
	for {
		if s.Review() {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
	}
}

// wakeUp makes Run review the queued requests.
func (s *Scheduler) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Withdraw removes a request from the queue. If it was placed and nobody has received the
// decision, its attempt ends.
func (s *Scheduler) Withdraw(w *Waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(w.placementRequest.Service)
	p.settleRetry(w)
	if i := slices.Index(p.queue, w); i >= 0 {
		p.queue = slices.Delete(p.queue, i, i+1)
		return
	}
	select {
	case <-w.granted:
		if at := p.attempts[w.placementRequest.ID]; at != nil {
			s.uncountRetry(p, at, s.settings.Now())
		}
		p.endAttempt(w.placementRequest.ID)
	default:
	}
}
