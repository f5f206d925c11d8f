// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"time"

	"github.com/linkmast/linkmast/placement"
)

// Parameters of refusals.
const (
	// A request counts as late under a plan by which it loses more than lateLossShare of its worth.
	lateLossShare = 0.4
	// While at least usedSlotsLimit of the slots are in use, a short first try that would be late
	// is refused, so that its caller tries again when slots are free. A request that yields (see
	// Waiter.yields) is not placed meanwhile.
	usedSlotsLimit = 0.8
	// shortTarget is the longest target of a short request, which waits for a slot rather than
	// for prefill: its prompt is prefilled within a pass.
	shortTarget = time.Second
	// minRetryAfter is the least RetryAfter that Scheduler.refusal sets: slots become free within a
	// second.
	// retryAfterSpread is the least range of the random time added to it, so that callers don't
	// all return at once.
	minRetryAfter    = 600 * time.Millisecond
	retryAfterSpread = 800 * time.Millisecond
	// maxWaitShare is the part of its deadline after which a waiting request is refused, so
	// that its caller has time for another try.
	maxWaitShare = 0.6
)

// refuse returns the refusal of a request that can't be served as its caller needs it, or nil if it
// may wait. A caller on its first try needs the answer in time; refused at once, it can come back
// when there is room. A caller that has come back may not try again, so it needs an answer before
// it gives up. Ahead is the work that goes before the request.
//
// Long prompts that would be late are refused at once, so that their prefill doesn't take the engines
// from those in time: bursts of them before 18 engines had a worth of 0.705 instead of 0.683.
func (s *Scheduler) refuse(p *poolState, w *Waiter, ahead backlog, now time.Time) *Refusal {
	list := p.usable(w, now)
	if len(list) == 0 && p.drained.coversAny(&w.placementRequest, p.list) {
		return s.refusal("failure domains of the service are emptied", drainedRetryAfter)
	}
	if r := s.refuseUnavailable(p, w, list, ahead.requests, now); r != nil {
		return r
	}
	if r := s.refuseCold(p, w, list, now); r != nil {
		return r
	}
	if p.plain || len(list) == 0 {
		return s.refuseWaited(w, now)
	}
	if w.outOfSlots(list) {
		return s.refusal("no endpoint can answer in time now", 0)
	}
	wait := time.Duration(0)
	if !w.placementRequest.isShort() {
		// Only long prompts wait for the prefill ahead. Short ones are prefilled beside them, in the
		// next pass of some engine.
		wait = time.Duration(float64(ahead.prefill) / totalSpeed(list) / prefillShare)
	}
	ready := now.Add(wait + placement.MinPrefillTime(list, w.request))
	switch {
	case w.firstTry() && w.late && !w.placementRequest.isShort() && ready.After(w.request.TargetAt):
		return s.refusal("no endpoint can read it in time", wait)
	case ready.After(w.givesUpAt()):
		return s.refusal("no endpoint can read it before its caller goes", wait)
	}
	if r := s.refuseLate(p, w, ready, now); r != nil {
		return r
	}
	return s.refuseWaited(w, now)
}

// refusal returns a refusal with the given reason. Its RetryAfter is the larger of minRetryAfter and
// ahead, plus a random time. Ahead is the time until a new try may succeed, or zero if that is
// unknown.
func (s *Scheduler) refusal(reason string, ahead time.Duration) *Refusal {
	return &Refusal{
		Reason:     reason,
		RetryAfter: max(minRetryAfter, ahead) + s.settings.Draw(max(retryAfterSpread, ahead)),
	}
}

// givesUpAt returns when the caller stops waiting for the first event.
func (w *Waiter) givesUpAt() time.Time {
	deadline := w.arrived.Add(w.placementRequest.Deadline)
	if w.request.GiveUpAt.Before(deadline) {
		return w.request.GiveUpAt
	}
	return deadline
}

// refuseWaited returns the refusal of a request that has waited for maxWaitShare of its
// deadline, or nil.
func (s *Scheduler) refuseWaited(w *Waiter, now time.Time) *Refusal {
	if now.Sub(w.arrived) < time.Duration(float64(w.placementRequest.Deadline)*maxWaitShare) {
		return nil
	}
	return s.refusal("no endpoint can take the request now", 0)
}

// prefillShare is the part of their time that loaded engines are assumed to spend on prefill;
// the rest is decode. Refusing earlier, from three quarters of the target on, gave bursts of long
// prompts before 18 engines a worth of 0.616 instead of 0.624.
const prefillShare = 0.8

// pendingPrefill returns the pending prefill time of all engines together, at the speed of
// their model.
func (p *poolState) pendingPrefill() time.Duration {
	sum := time.Duration(0)
	for _, e := range p.list {
		sum += time.Duration(float64(e.PendingPrefill()) * e.Speed())
	}
	return sum
}

// backlog is the work that goes before a request.
type backlog struct {
	// prefill is the prefill time at the speed of the model, summed over the engines.
	prefill time.Duration
	// requests counts the waiting requests.
	requests int
}

// add adds a waiting request.
func (b *backlog) add(p *poolState, w *Waiter) {
	b.prefill += p.prefillTime(w)
	b.requests++
}

// backlogBefore returns the backlog before a new request: the pending prefill of the engines,
// and the waiting requests that are at least as urgent.
func (p *poolState) backlogBefore(w *Waiter, now time.Time) backlog {
	sum := backlog{
		prefill: p.pendingPrefill(),
	}
	urgency := w.urgency(now)
	for _, q := range p.queue {
		if q.urgency(now) <= urgency {
			sum.add(p, q)
		}
	}
	return sum
}

// prefillTime returns the time that one engine needs to prefill a request's prompt by its
// model.
func (p *poolState) prefillTime(w *Waiter) time.Duration {
	if len(p.list) == 0 {
		return 0
	}
	return p.list[0].Model.PrefillTime(w.placementRequest.Prompt, 1)
}

// engineTime returns the time of one engine that a request takes by the model.
func (p *poolState) engineTime(w *Waiter) time.Duration {
	if len(p.list) == 0 {
		return 0
	}
	return w.request.Work(p.list[0].Model)
}

// firstTry reports whether the caller tries for the first time, no endpoint has received the
// request and its target has not passed. Such a caller can come back after a refusal.
func (w *Waiter) firstTry() bool {
	return !w.placementRequest.Returning && !w.placementRequest.Retry && !w.placementRequest.Resumed && w.placementRequest.Target > 0
}

// outOfSlots reports whether a short request on its first try would be late while most slots are in
// use. Such a request is refused.
func (w *Waiter) outOfSlots(list []*placement.Engine) bool {
	return w.firstTry() && w.late && w.placementRequest.isShort() && mostSlotsUsed(list)
}

// mostSlotsUsed reports whether at least usedSlotsLimit of the engines' slots are in use.
func mostSlotsUsed(list []*placement.Engine) bool {
	used, all := slotUsage(list)
	return float64(used) >= usedSlotsLimit*float64(all)
}

// slotUsage returns how many slots of the engines are in use, and how many there are. All slots
// of an engine that is marked as full count as used.
func slotUsage(list []*placement.Engine) (used, all int) {
	for _, e := range list {
		all += e.Slots
		if e.Full {
			used += e.Slots
			continue
		}
		used += e.Running()
	}
	return used, all
}
