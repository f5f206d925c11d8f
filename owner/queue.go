// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package owner

import (
	"context"
	"math"
	"time"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/policy"
)

// waiter is a request in a queue.
type waiter struct {
	request Request
	// answer receives one value. It is buffered, so that sending never blocks.
	answer chan answer
}

// answer is the grant or the refusal of a waiting request.
type answer struct {
	grant   Grant
	refusal *Refusal
}

// minRetry is the least RetryAfter of refusals by deadline or patience.
const minRetry = 100 * time.Millisecond

// Acquire implements Leaser.
func (o *Owner) Acquire(ctx context.Context, r Request, queued func(time.Duration)) (Grant, error) {
	w := &waiter{
		request: r,
		answer:  make(chan answer, 1),
	}
	estimate, refusal := o.enqueue(w)
	if refusal != nil {
		return Grant{}, refusal
	}
	if queued != nil && len(w.answer) == 0 {
		queued(estimate)
	}
	select {
	case a := <-w.answer:
		if a.refusal != nil {
			return Grant{}, a.refusal
		}
		return a.grant, nil
	case <-ctx.Done():
		o.abandon(w)
		return Grant{}, ctx.Err()
	}
}

// enqueue adds a request to its endpoint's queue and returns the estimated wait, or refuses it at
// once.
func (o *Owner) enqueue(w *waiter) (time.Duration, *Refusal) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.owned[w.request.Endpoint]
	switch {
	case o.stopping:
		return 0, refuse(RefusedStopping, "the owner is stopping", 0)
	case e == nil:
		return 0, refuse(RefusedNotOwner, "another instance owns the endpoint", 0)
	case e.target.Leaving:
		return 0, refuse(RefusedLeaving, "the endpoint is leaving", 0)
	case e.ejected:
		return 0, refuse(RefusedEjected, "the endpoint does not answer", o.settings.SweepInterval)
	case e.ledger.Memory > 0 && w.request.Work.Bytes > e.ledger.Memory:
		return 0, refuse(RefusedSize, "the request is larger than the endpoint", 0)
	}
	now := steady.Now()
	wait := e.estimate(&w.request.Work, now)
	_, naive := o.settings.Strategy.(policy.Naive)
	if !naive {
		if refusal := admit(e, &w.request, wait, now); refusal != nil {
			return 0, refusal
		}
	}
	e.queue = append(e.queue, w)
	o.pump(e, now)
	return wait, nil
}

// admit returns a refusal if a request can't meet its deadline, or its wait exceeds its patience,
// else nil. RetryAfter is the time by which the wait is too long, but at least minRetry.
func admit(e *endpoint, r *Request, wait time.Duration, now time.Time) *Refusal {
	finish := now.Add(wait + e.ledger.MinTime(&r.Work))
	if late := finish.Sub(r.Work.Deadline); late > 0 {
		return refuse(RefusedDeadline, "the queue is too long for the deadline", max(late, minRetry))
	}
	if r.Patience > 0 && wait > r.Patience {
		return refuse(RefusedPatience, "the wait is above the request's patience", max(wait-r.Patience, minRetry))
	}
	return nil
}

func refuse(code Code, detail string, after time.Duration) *Refusal {
	return &Refusal{
		Code:       code,
		Detail:     detail,
		RetryAfter: after,
	}
}

// estimate returns the time until the prefill of a request can start: the prefill ahead of it at
// the engine and in the queue, or the wait for memory and a slot if that is longer.
func (e *endpoint) estimate(w *policy.Work, now time.Time) time.Duration {
	ahead := 0.0
	own := policy.Priority(w.RankAt(now), w.Class())
	for p, seconds := range e.ledger.Outstanding(now) {
		if p <= own {
			ahead += seconds
		}
	}
	bytes := w.Bytes
	slots := e.ledger.Running() + 1 - e.ledger.MaxRunning
	for _, o := range e.queue {
		if policy.Before(w, &o.request.Work, e.ledger, now) {
			continue
		}
		ahead += e.ledger.Prefill(o.request.Work.Prompt).Seconds()
		bytes += o.request.Work.Bytes
		slots++
	}
	wait := time.Duration(ahead * float64(time.Second))
	memory := e.ledger.MemoryWait(bytes)
	if slots > 0 {
		memory = max(memory, e.ledger.MemoryWait(e.ledger.Free()+w.Bytes*int64(slots)))
	}
	return max(wait, memory)
}

// pump grants leases to the waiting requests that can start, and schedules itself again while any
// wait. The caller must hold the lock.
func (o *Owner) pump(e *endpoint, now time.Time) {
	o.refuseLate(e, now)
	for e.reported && !e.ejected && len(e.queue) > 0 {
		works := make([]*policy.Work, len(e.queue))
		for i, w := range e.queue {
			works[i] = &w.request.Work
		}
		v := policy.Next(o.settings.Strategy, works, e.ledger, now)
		if v.Index < 0 {
			break
		}
		w := e.queue[v.Index]
		e.queue = append(e.queue[:v.Index], e.queue[v.Index+1:]...)
		o.grant(e, w, v.Reason, now)
	}
	if len(e.queue) > 0 && !e.pumping {
		e.pumping = true
		time.AfterFunc(pumpInterval, func() {
			o.mu.Lock()
			defer o.mu.Unlock()
			e.pumping = false
			o.pump(e, steady.Now())
		})
	}
}

// refuseLate refuses the waiting requests that can no longer meet their deadlines. The naive
// strategy refuses none.
func (o *Owner) refuseLate(e *endpoint, now time.Time) {
	if _, naive := o.settings.Strategy.(policy.Naive); naive {
		return
	}
	kept := e.queue[:0]
	for _, w := range e.queue {
		late := now.Add(e.ledger.MinTime(&w.request.Work)).Sub(w.request.Work.Deadline)
		if late <= 0 {
			kept = append(kept, w)
			continue
		}
		w.answer <- answer{
			refusal: refuse(RefusedDeadline, "the deadline can't be met any more", max(late, minRetry)),
		}
	}
	clear(e.queue[len(kept):])
	e.queue = kept
}

// grant gives a lease to a waiting request.
func (o *Owner) grant(e *endpoint, w *waiter, why policy.Reason, now time.Time) {
	work := &w.request.Work
	priority := policy.Priority(work.RankAt(now), work.Class())
	if _, naive := o.settings.Strategy.(policy.Naive); naive {
		priority = 0
	}
	e.ledger.Add(work, w.request.Attempt, priority, now)
	e.leases[w.request.Attempt] = &lease{
		holder:    w.request.Holder,
		granted:   now,
		confirmed: now,
	}
	instance := e.target.Instance
	if instance == "" {
		instance = e.instance
	}
	w.answer <- answer{
		grant: Grant{
			Address:     e.target.Endpoint.Address,
			Instance:    instance,
			Priority:    priority,
			StartWithin: o.settings.StartWithin,
		},
	}
	o.log.V(1).Info("lease granted", "request", work.ID, "attempt", w.request.Attempt, "endpoint", w.request.Endpoint,
		"holder", w.request.Holder, "waited_ms", now.Sub(work.Arrived).Milliseconds(), "priority", priority,
		"free_bytes", e.ledger.Free(), "queue", len(e.queue), "reason", string(why))
}

// abandon removes a request whose wait was cancelled from the queue, or ends its lease if it got one
// meanwhile.
func (o *Owner) abandon(w *waiter) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.owned[w.request.Endpoint]
	if e == nil {
		return
	}
	for i, other := range e.queue {
		if other == w {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			return
		}
	}
	o.endLease(e, w.request.Attempt)
}

// endLease ends a lease, which frees its memory for waiting requests. The caller must hold the lock.
func (o *Owner) endLease(e *endpoint, attempt string) {
	now := steady.Now()
	delete(e.leases, attempt)
	e.ledger.Remove(attempt, now)
	o.pump(e, now)
}

// refuseAll refuses all waiting requests.
func (e *endpoint) refuseAll(code Code, detail string) {
	for _, w := range e.queue {
		w.answer <- answer{
			refusal: refuse(code, detail, 0),
		}
	}
	e.queue = nil
}

// Release implements Leaser.
func (o *Owner) Release(_ context.Context, r Release) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.owned[r.Endpoint]
	if e == nil {
		return nil
	}
	l := e.leases[r.Attempt]
	if l == nil {
		return nil
	}
	now := steady.Now()
	l.confirmed = now
	if r.Step > 0 {
		e.ledger.Observe(r.Step)
	}
	switch r.Outcome {
	case FirstToken:
		e.ledger.FirstToken(r.Attempt, now)
		o.pump(e, now)
	case Failed, Done, NotStarted:
		o.endLease(e, r.Attempt)
	}
	return nil
}

// msOf returns a duration in milliseconds, rounded up.
func msOf(d time.Duration) int64 {
	return int64(math.Ceil(float64(d) / float64(time.Millisecond)))
}
