// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// Review looks at all waiting requests, as Run does. It returns whether any still wait.
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

// reviewPool places or refuses the waiting requests of a pool, the most urgent
// ones first. The caller holds the lock.
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

// urgency orders waiting requests; the lowest goes first. It is the time in
// seconds until the request is late, and more for customers of a lower priority.
// What is late already comes after all others.
func (w *Waiter) urgency(now time.Time) float64 {
	left := w.request.TargetAt.Sub(now)
	if left <= 0 {
		left += latePenalty * time.Second
	}
	return left.Seconds() + rankPenalty*float64(w.ask.Rank)
}

// The weights of urgency, in seconds.
const (
	// latePenalty puts late requests behind all others: targets are shorter.
	latePenalty = 100
	// rankPenalty is how much later a request counts for each rank of its
	// customer.
	rankPenalty = 0.3
)

// ReviewInterval is how often waiting requests are looked at anew: a fraction of a
// pass.
const ReviewInterval = 15 * time.Millisecond

// Run looks at waiting requests until ctx ends.
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

// wakeUp makes Run look at the waiting requests.
func (s *Scheduler) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Withdraw takes back a request that no longer waits for its place.
func (s *Scheduler) Withdraw(w *Waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(w.ask.Service)
	if i := slices.Index(p.queue, w); i >= 0 {
		p.queue = slices.Delete(p.queue, i, i+1)
		return
	}
	select {
	case <-w.granted:
		p.endAttempt(w.ask.ID)
	default:
	}
}
