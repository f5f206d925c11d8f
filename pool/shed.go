// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"time"

	"github.com/linkmast/linkmast/placement"
)

// The measures of refusing at once.
const (
	// lateLossShare is the part of its worth that a request must lose to count as
	// late.
	lateLossShare = 0.4
	// usedSlotsLimit is the part of the slots in use from which on a request that
	// would be late is refused: its caller is better off with another try when
	// there is room, and those who come now are in time.
	usedSlotsLimit = 0.8
	// shortTarget is the longest target of requests that wait for slots rather than
	// for reading: their prompts are read within a pass.
	shortTarget = time.Second
	// minRetryAfter and shedSpread are when a refused caller may come back at the
	// earliest: slots become free within a second, and not all should return at
	// once.
	minRetryAfter    = 600 * time.Millisecond
	retryAfterSpread = 800 * time.Millisecond
	// maxWaitShare is the part of its deadline after which a request that found no
	// place is refused, so that its caller can come back in time.
	maxWaitShare = 0.6
)

// refuse returns the refusal of a request that can't be served as its caller needs
// it, or nil while it may be. A caller at its first try needs it in time: told at once,
// it can come back when there is room. One that has come back may have no further try:
// it needs an answer before it gives up. Ahead is what goes before the request.
//
// Refusing long prompts at once raised the worth of bursts of them from 0.683 to 0.705
// (18 engines, fifteen plays of days with faults, same seeds): late readings no longer
// take the engines from those that are in time.
func (s *Scheduler) refuse(p *poolState, w *Waiter, ahead backlog, now time.Time) *Refusal {
	list := p.usable(w, now)
	if len(list) == 0 && p.drained.excludesAny(&w.ask, p.list) {
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
	unread := time.Duration(0)
	if !w.ask.isShort() {
		// Short ones are read beside long ones, in the next pass of some engine.
		unread = time.Duration(float64(ahead.prefill) / totalSpeed(list) / prefillShare)
	}
	ready := now.Add(unread + placement.MinPrefillTime(list, w.request))
	switch {
	case w.firstTry() && w.late && !w.ask.isShort() && ready.After(w.request.TargetAt):
		return s.refusal("no endpoint can read it in time", unread)
	case ready.After(w.givesUpAt()):
		return s.refusal("no endpoint can read it before its caller goes", unread)
	}
	if r := s.refuseLate(p, w, ready, now); r != nil {
		return r
	}
	return s.refuseWaited(w, now)
}

// refusal returns a refusal for a caller that may come back once the work ahead is
// done.
func (s *Scheduler) refusal(reason string, ahead time.Duration) *Refusal {
	return &Refusal{
		Reason:     reason,
		RetryAfter: max(minRetryAfter, ahead) + s.settings.Draw(max(retryAfterSpread, ahead)),
	}
}

// givesUpAt returns when the caller no longer waits for the first event.
func (w *Waiter) givesUpAt() time.Time {
	deadline := w.arrived.Add(w.ask.Deadline)
	if w.request.GiveUpAt.Before(deadline) {
		return w.request.GiveUpAt
	}
	return deadline
}

// refuseWaited returns a refusal for a request that waited too long, or nil.
func (s *Scheduler) refuseWaited(w *Waiter, now time.Time) *Refusal {
	if now.Sub(w.arrived) < time.Duration(float64(w.ask.Deadline)*maxWaitShare) {
		return nil
	}
	return s.refusal("no endpoint can take the request now", 0)
}

// prefillShare is the part of their time that engines under load are taken to read; in the
// rest they write. Refusing earlier, from three quarters of the target on, the worth of
// bursts of long prompts was 0.616 in place of 0.624 (18 engines, eight plays, same
// seeds).
const prefillShare = 0.8

// pendingPrefill returns the time of reading what the engines have before them, summed over
// them, if they work as their model says.
func (p *poolState) pendingPrefill() time.Duration {
	sum := time.Duration(0)
	for _, e := range p.list {
		sum += time.Duration(float64(e.PendingPrefill()) * e.Speed())
	}
	return sum
}

// backlog is what goes before a request.
type backlog struct {
	// prefill is reading, summed over the engines.
	prefill time.Duration
	// requests are those that wait and are more urgent.
	requests int
}

// add adds a waiting request.
func (b *backlog) add(p *poolState, w *Waiter) {
	b.prefill += p.prefillTime(w)
	b.requests++
}

// backlogBefore returns what goes before a request that has come: what the engines have to read, and
// the waiting requests that are as urgent or more, on one engine each.
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

// prefillTime returns the time that one engine needs to read a request's prompt.
func (p *poolState) prefillTime(w *Waiter) time.Duration {
	if len(p.list) == 0 {
		return 0
	}
	return p.list[0].Model.PrefillTime(w.ask.Prompt, 1)
}

// engineTime returns the time of one engine that a request takes.
func (p *poolState) engineTime(w *Waiter) time.Duration {
	if len(p.list) == 0 {
		return 0
	}
	return w.request.Work(p.list[0].Model)
}

// firstTry states whether the caller asks for the first time and no endpoint had the
// request: it can be told to come back.
func (w *Waiter) firstTry() bool {
	return !w.ask.Returning && !w.ask.Retry && !w.ask.Resumed && w.ask.Target > 0
}

// outOfSlots states whether a short request would be late for want of slots, so that it
// should be refused.
func (w *Waiter) outOfSlots(list []*placement.Engine) bool {
	return w.firstTry() && w.late && w.ask.isShort() && mostSlotsUsed(list)
}

// mostSlotsUsed states whether most slots are in use.
func mostSlotsUsed(list []*placement.Engine) bool {
	used, all := slotUsage(list)
	return float64(used) >= usedSlotsLimit*float64(all)
}

// slotUsage returns how many slots engines have in use, and how many they have in all. Those
// of engines that get nothing now count as used.
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
