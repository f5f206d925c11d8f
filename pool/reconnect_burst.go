// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"math"
	"slices"
	"time"

	"github.com/linkmast/linkmast/placement"
)

// Parameters of reconnects.
const (
	// reconnectWindow is the time within which the caller of an interrupted attempt is expected to
	// reconnect. After that it counts as a new caller.
	reconnectWindow = time.Second
	// Interrupted streams count as a burst if there are at least minBurst of them, and at least
	// minBurstShare for each engine. The interrupted attempts must also have at least minBurst
	// different workloads. Fewer are normal, as single callers leave at any time.
	minBurstShare = 0.25
	minBurst      = 4
	// burstMinPrefill is the least prefill time of a request that may have to wait for a burst:
	// about one pass of an engine.
	burstMinPrefill = 60 * time.Millisecond
	// A burst includes only the streams whose longest allowed gap is at most burstGapFactor times
	// the shortest of these gaps.
	burstGapFactor = 2
)

// workloadID identifies a request across reconnects. The caller's next try has a new attempt
// id.
type workloadID struct {
	customer string
	prompt   int
	output   int
}

// workload describes an attempt, so that its request can be recognized, and its worth is known,
// when its caller reconnects.
type workload struct {
	id  workloadID
	gap time.Duration
	// worth is the request's worth if it is answered in time.
	worth float64
	// targetAt is when the first event would be late.
	targetAt time.Time
}

// interruptedAttempt is an attempt that failed, was abandoned or was lost with a session.
type interruptedAttempt struct {
	at time.Time
	// dueAt is when the next event of an interrupted stream would be late, or the first event of
	// any other attempt.
	dueAt time.Time
	// resumes is set if the caller has received events of a stream, and gap is the longest pause
	// between events that it allows.
	resumes bool
	gap     time.Duration
	// worth is the request's worth if it is answered in time.
	worth float64
}

// reconnects holds the attempts that were interrupted and whose callers may reconnect. After a
// reset of connections or the loss of an instance, many callers do so at once. The request of a
// caller that reconnects is due when the interrupted attempt was due, which its new entry
// instance doesn't know. The zero value is ready for use.
type reconnects struct {
	// interrupted holds the interrupted attempts by workload.
	interrupted map[workloadID][]interruptedAttempt
	expiredAt   time.Time
	// burst is the present reconnect burst, if any.
	burst reconnectBurst
	// interruptions counts the interrupted attempts, returned those whose callers reconnected,
	// and bursts the reconnect bursts.
	interruptions int
	returned      int
	bursts        int
}

// reconnectBurst is a number of interrupted streams whose callers reconnect at the same time.
type reconnectBurst struct {
	// streams is the number of streams.
	streams int
	// until is when the last of their next events is due.
	until time.Time
	// worth is the sum of the streams' worths if all are answered in time.
	worth float64
}

// timeLeft returns the time left until the event that the caller waits for is late.
func (a *PlacementRequest) timeLeft() time.Duration {
	if a.Resumed {
		return a.DueIn
	}
	return a.Target - a.Elapsed
}

// isShort reports whether a request waits for a slot rather than for prefill, as its prompt is
// prefilled within a pass. A short Target indicates this, or a short Gap for a resumed stream,
// whose time left doesn't depend on the prompt.
func (a *PlacementRequest) isShort() bool {
	if a.Resumed {
		return a.Gap <= shortResumedGap
	}
	return a.Target <= shortTarget
}

// shortResumedGap is the largest Gap of a resumed stream that counts as short.
const shortResumedGap = 400 * time.Millisecond

// workload returns the workload of the request.
func (w *Waiter) workload() workload {
	return workload{
		id: workloadID{
			customer: w.placementRequest.Customer,
			prompt:   w.placementRequest.Prompt,
			output:   w.placementRequest.Output,
		},
		gap:      w.placementRequest.Gap,
		worth:    w.request.Worth,
		targetAt: w.request.TargetAt,
	}
}

// recordInterrupted records that an attempt was interrupted at the given time.
func (r *reconnects) recordInterrupted(at *attempt, now time.Time) {
	if at.workload.id.prompt == 0 {
		return
	}
	r.expire(now)
	r.interruptions++
	c := interruptedAttempt{
		at:      now,
		dueAt:   at.workload.targetAt,
		resumes: at.begun && at.workload.gap > 0,
		gap:     at.workload.gap,
		worth:   at.workload.worth,
	}
	if c.resumes {
		c.dueAt = now.Add(at.workload.gap)
	}
	if r.interrupted == nil {
		r.interrupted = make(map[workloadID][]interruptedAttempt)
	}
	r.interrupted[at.workload.id] = append(r.interrupted[at.workload.id], c)
}

// match looks up the interrupted attempt that a request continues, and makes the request due
// when that attempt was due. A retry by the attempt's own entry instance already has the right
// due time. So has any request that is due earlier than the attempt that it resembles, which is
// then another caller's.
func (r *reconnects) match(w *Waiter, now time.Time) {
	id := w.workload().id
	i := slices.IndexFunc(r.interrupted[id], func(c interruptedAttempt) bool {
		return c.resumes == w.placementRequest.Resumed && c.isExpected(now)
	})
	if i < 0 {
		return
	}
	r.returned++
	c := r.interrupted[id][i]
	r.set(id, slices.Delete(r.interrupted[id], i, i+1))
	if !w.placementRequest.Retry && c.dueAt.Before(w.request.TargetAt) {
		w.request.TargetAt = c.dueAt
	}
}

// expire removes the interrupted attempts whose callers have not reconnected in time. It does
// so at most once in a reconnectWindow.
func (r *reconnects) expire(now time.Time) {
	if now.Sub(r.expiredAt) < reconnectWindow {
		return
	}
	r.expiredAt = now
	for id, list := range r.interrupted {
		r.set(id, slices.DeleteFunc(list, func(c interruptedAttempt) bool { return !c.isExpected(now) }))
	}
}

// set replaces the interrupted attempts of a workload.
func (r *reconnects) set(id workloadID, list []interruptedAttempt) {
	if len(list) == 0 {
		delete(r.interrupted, id)
		return
	}
	r.interrupted[id] = list
}

// isExpected reports whether the caller is still expected to reconnect.
func (c *interruptedAttempt) isExpected(now time.Time) bool {
	return now.Sub(c.at) < reconnectWindow
}

// yieldsToBurst reports whether a request must wait for a reconnect burst, and logs each new burst.
// The caller must hold s.mu.
func (s *Scheduler) yieldsToBurst(p *poolState, w *Waiter, plan *placement.Plan, engines int, now time.Time) bool {
	r := &p.reconnects
	before := r.bursts
	first := r.burstGoesFirst(w, plan, engines, now)
	if r.bursts > before {
		s.log.Info("reconnect burst detected", "service", w.placementRequest.Service, "streams", r.burst.streams, "worth", r.burst.worth,
			"for_ms", r.burst.until.Sub(now).Milliseconds(), "engines", engines)
	}
	return first
}

// burstGoesFirst reports whether a request with a long prefill must wait until the next events of
// all streams of a reconnect burst are due, even if the streams are placed earlier. It must wait if
// it is late anyway, if it would be in time even after the wait, or if the part of the burst that
// falls on its engines is worth more. Streams placed on its engines would otherwise wait for the
// whole prefill.
func (r *reconnects) burstGoesFirst(w *Waiter, plan *placement.Plan, engines int, now time.Time) bool {
	if plan.PrefillTime < burstMinPrefill {
		return false
	}
	r.detectBurst(engines, now)
	wait := r.burst.until.Sub(now)
	if wait <= 0 {
		return false
	}
	left := w.request.TargetAt.Sub(now)
	if w.late || plan.TimeToFirstEvent+wait < left {
		return true
	}
	part := float64(len(plan.Others)+1) / float64(engines)
	return part*r.burst.worth > w.request.Worth
}

// detectBurst updates the present burst by the interrupted streams that can still be in time.
func (r *reconnects) detectBurst(engines int, now time.Time) {
	if len(r.interrupted) < minBurst {
		return
	}
	found := burstOf(r.inTime(now))
	if now.After(r.burst.until) {
		r.burst = reconnectBurst{}
	}
	if found.streams < minBurst || float64(found.streams) < minBurstShare*float64(engines) {
		return
	}
	if r.burst.streams == 0 {
		r.bursts++
	}
	if found.streams > r.burst.streams {
		r.burst.streams, r.burst.worth = found.streams, found.worth
	}
	r.burst.until = later(r.burst.until, found.until)
}

// burstOf returns the burst that streams form, however few they are. It leaves out streams that
// allow much longer gaps than others.
func burstOf(streams []interruptedAttempt) reconnectBurst {
	shortest := time.Duration(math.MaxInt64)
	for _, c := range streams {
		shortest = min(shortest, c.gap)
	}
	var out reconnectBurst
	for _, c := range streams {
		if c.gap <= burstGapFactor*shortest {
			out.streams++
			out.worth += c.worth
			out.until = later(out.until, c.dueAt)
		}
	}
	return out
}

// inTime returns the interrupted streams that can still be in time.
func (r *reconnects) inTime(now time.Time) []interruptedAttempt {
	var out []interruptedAttempt
	for _, list := range r.interrupted {
		for _, c := range list {
			if c.resumes && c.dueAt.After(now) && c.isExpected(now) {
				out = append(out, c)
			}
		}
	}
	return out
}
