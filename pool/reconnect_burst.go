// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"math"
	"slices"
	"time"

	"github.com/linkmast/linkmast/placement"
)

// The measures of work that returns.
const (
	// reconnectWindow is how long work that was cut is waited for: callers whose connection
	// was reset are back within a tenth of a second, and after a second they count as new.
	reconnectWindow = time.Second
	// minBurstShare is the part of the engines for which there must be as much returning work
	// for it to be a crowd, and crowdLeast the least of it: single callers leave at any
	// moment.
	minBurstShare = 0.25
	minBurst      = 4
	// burstMinPrefill is the time of reading from which on a prompt that is not in a hurry
	// waits for a crowd: a pass of an engine that writes, about.
	burstMinPrefill = 60 * time.Millisecond
	// burstGapFactor is how many of the shortest pauses a stream of the crowd bears at most.
	burstGapFactor = 2
)

// workloadID is by what work is known that returns: its caller's next try has another name.
type workloadID struct {
	customer string
	prompt   int
	output   int
}

// workload is what an attempt does for its caller.
type workload struct {
	id  workloadID
	gap time.Duration
	// worth is what an answer in time is worth.
	worth float64
	// targetAt is when the first event would be late.
	targetAt time.Time
}

// cutAttempt is work that was cut.
type cutAttempt struct {
	at time.Time
	// dueAt is when the next event would be late.
	dueAt time.Time
	// resumes states that the caller has events already, and gap is the longest pause
	// between them.
	resumes bool
	gap     time.Duration
	// worth is what an answer in time is worth.
	worth float64
}

// reconnects counts work that was cut without a fault of its own, and may come back: after
// a reset of connections or the loss of instances that is all that ran, within a tenth of
// a second. Who returns is due by what it was cut from, which its new entry can't know. The
// zero value is ready for use.
type reconnects struct {
	cut     map[workloadID][]cutAttempt
	sweptAt time.Time
	// crowd is the one that returns, if any.
	burst reconnectBurst
	// cuts counts the attempts that were cut, returned those of them that came back, and
	// crowds the crowds.
	cuts     int
	returned int
	bursts   int
}

// reconnectBurst is many streams that return at once.
type reconnectBurst struct {
	// streams is how many there are.
	streams int
	// until is when the last of them is due.
	until time.Time
	// worth is what they are worth in time, together.
	worth float64
}

// timeLeft returns the time left until the next event that an ask waits for would be late.
func (a *PlacementRequest) timeLeft() time.Duration {
	if a.Resumed {
		return a.DueIn
	}
	return a.Target - a.Elapsed
}

// isShort states whether an ask waits for slots rather than for reading: its prompt is read
// within a pass. What is left of the target of a stream that goes on says nothing of its
// prompt; such streams are told apart by their longest pauses.
func (a *PlacementRequest) isShort() bool {
	if a.Resumed {
		return a.Gap <= shortResumedGap
	}
	return a.Target <= shortTarget
}

// shortResumedGap is the longest pause of streams whose prompts are read within a pass.
const shortResumedGap = 400 * time.Millisecond

// workload returns what an attempt of the request does.
func (w *Waiter) workload() workload {
	return workload{
		id: workloadID{
			customer: w.ask.Customer,
			prompt:   w.ask.Prompt,
			output:   w.ask.Output,
		},
		gap:      w.ask.Gap,
		worth:    w.request.Worth,
		targetAt: w.request.TargetAt,
	}
}

// note takes over that an attempt was cut at a moment.
func (r *reconnects) note(at *attempt, now time.Time) {
	if at.workload.id.prompt == 0 {
		return
	}
	r.expire(now)
	r.cuts++
	c := cutAttempt{
		at:      now,
		dueAt:   at.workload.targetAt,
		resumes: at.begun && at.workload.gap > 0,
		gap:     at.workload.gap,
		worth:   at.workload.worth,
	}
	if c.resumes {
		c.dueAt = now.Add(at.workload.gap)
	}
	if r.cut == nil {
		r.cut = make(map[workloadID][]cutAttempt)
	}
	r.cut[at.workload.id] = append(r.cut[at.workload.id], c)
}

// match finds what a request was cut from, and sets when it is due by that. An ask of the
// entry that had the attempt itself knows when it is due.
func (r *reconnects) match(w *Waiter, now time.Time) {
	id := w.workload().id
	i := slices.IndexFunc(r.cut[id], func(c cutAttempt) bool {
		return c.resumes == w.ask.Resumed && c.isExpected(now)
	})
	if i < 0 {
		return
	}
	r.returned++
	c := r.cut[id][i]
	r.set(id, slices.Delete(r.cut[id], i, i+1))
	if !w.ask.Retry {
		w.request.TargetAt = c.dueAt
	}
}

// expire forgets what did not return.
func (r *reconnects) expire(now time.Time) {
	if now.Sub(r.sweptAt) < reconnectWindow {
		return
	}
	r.sweptAt = now
	for id, list := range r.cut {
		r.set(id, slices.DeleteFunc(list, func(c cutAttempt) bool { return !c.isExpected(now) }))
	}
}

// set keeps the work of one kind that was cut, if there is any.
func (r *reconnects) set(id workloadID, list []cutAttempt) {
	if len(list) == 0 {
		delete(r.cut, id)
		return
	}
	r.cut[id] = list
}

// isExpected states whether the work's caller is waited for still.
func (c *cutAttempt) isExpected(now time.Time) bool {
	return now.Sub(c.at) < reconnectWindow
}

// yieldsToBurst states whether a crowd that returns goes before a request, and writes a
// line for each crowd. The caller holds the lock.
func (s *Scheduler) yieldsToBurst(p *poolState, w *Waiter, plan *placement.Plan, engines int, now time.Time) bool {
	r := &p.reconnects
	known := r.bursts
	first := r.burstGoesFirst(w, plan, engines, now)
	if r.bursts > known {
		s.log.Info("crowd returns", "service", w.ask.Service, "streams", r.burst.streams, "worth", r.burst.worth,
			"for_ms", r.burst.until.Sub(now).Milliseconds(), "engines", engines)
	}
	return first
}

// burstGoesFirst states whether a crowd that returns goes before a request: a long reading
// begins once the streams of the crowd have been taken up or can't be in time any more,
// when it is in time later, too, or is late anyway, or its engines' part of the crowd is
// worth more. Streams that wait to be read on its engines would else wait for all of it.
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

// detectBurst looks whether what was cut and may still be taken up in time is a crowd.
func (r *reconnects) detectBurst(engines int, now time.Time) {
	if len(r.cut) < minBurst {
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

// burstOf returns the crowd that streams are, however few. Those that bear much longer
// pauses than others are not waited for.
func burstOf(streams []cutAttempt) reconnectBurst {
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

// inTime returns the streams that may still be taken up in time.
func (r *reconnects) inTime(now time.Time) []cutAttempt {
	var out []cutAttempt
	for _, list := range r.cut {
		for _, c := range list {
			if c.resumes && c.dueAt.After(now) && c.isExpected(now) {
				out = append(out, c)
			}
		}
	}
	return out
}
