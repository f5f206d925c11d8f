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
	// returnsWithin is how long work that was cut is waited for: callers whose connection
	// was reset are back within a tenth of a second, and after a second they count as new.
	returnsWithin = time.Second
	// crowdShare is the part of the engines for which there must be as much returning work
	// for it to be a crowd, and crowdLeast the least of it: single callers leave at any
	// moment.
	crowdShare = 0.25
	crowdLeast = 4
	// crowdReading is the time of reading from which on a prompt that is not in a hurry
	// waits for a crowd: a pass of an engine that writes, about.
	crowdReading = 60 * time.Millisecond
	// crowdGaps is how many of the shortest pauses a stream of the crowd bears at most.
	crowdGaps = 2
)

// workID is by what work is known that returns: its caller's next try has another name.
type workID struct {
	customer string
	prompt   int
	output   int
}

// work is what an attempt does for its caller.
type work struct {
	id  workID
	gap time.Duration
	// worth is what an answer in time is worth.
	worth float64
	// targetAt is when the first event would be late.
	targetAt time.Time
}

// cutWork is work that was cut.
type cutWork struct {
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

// returning counts work that was cut without a fault of its own, and may come back: after
// a reset of connections or the loss of instances that is all that ran, within a tenth of
// a second. Who returns is due by what it was cut from, which its new entry can't know. The
// zero value is ready for use.
type returning struct {
	cut     map[workID][]cutWork
	sweptAt time.Time
	// crowd is the one that returns, if any.
	crowd crowd
	// cuts counts the attempts that were cut, returned those of them that came back, and
	// crowds the crowds.
	cuts     int
	returned int
	crowds   int
}

// crowd is many streams that return at once.
type crowd struct {
	// streams is how many there are.
	streams int
	// until is when the last of them is due.
	until time.Time
	// worth is what they are worth in time, together.
	worth float64
}

// left returns the time left until the next event that an ask waits for would be late.
func (a *PlacementRequest) left() time.Duration {
	if a.Resumed {
		return a.DueIn
	}
	return a.Target - a.Elapsed
}

// hurried states whether an ask waits for slots rather than for reading: its prompt is read
// within a pass. What is left of the target of a stream that goes on says nothing of its
// prompt; such streams are told apart by their longest pauses.
func (a *PlacementRequest) hurried() bool {
	if a.Resumed {
		return a.Gap <= resumedGap
	}
	return a.Target <= shedTarget
}

// resumedGap is the longest pause of streams whose prompts are read within a pass.
const resumedGap = 400 * time.Millisecond

// work returns what an attempt of the request does.
func (w *Waiter) work() work {
	return work{
		id: workID{
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
func (r *returning) note(at *placed, now time.Time) {
	if at.work.id.prompt == 0 {
		return
	}
	r.sweep(now)
	r.cuts++
	c := cutWork{
		at:      now,
		dueAt:   at.work.targetAt,
		resumes: at.begun && at.work.gap > 0,
		gap:     at.work.gap,
		worth:   at.work.worth,
	}
	if c.resumes {
		c.dueAt = now.Add(at.work.gap)
	}
	if r.cut == nil {
		r.cut = make(map[workID][]cutWork)
	}
	r.cut[at.work.id] = append(r.cut[at.work.id], c)
}

// claim finds what a request was cut from, and sets when it is due by that. An ask of the
// entry that had the attempt itself knows when it is due.
func (r *returning) claim(w *Waiter, now time.Time) {
	id := w.work().id
	i := slices.IndexFunc(r.cut[id], func(c cutWork) bool {
		return c.resumes == w.ask.Resumed && c.mayReturn(now)
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

// sweep forgets what did not return.
func (r *returning) sweep(now time.Time) {
	if now.Sub(r.sweptAt) < returnsWithin {
		return
	}
	r.sweptAt = now
	for id, list := range r.cut {
		r.set(id, slices.DeleteFunc(list, func(c cutWork) bool { return !c.mayReturn(now) }))
	}
}

// set keeps the work of one kind that was cut, if there is any.
func (r *returning) set(id workID, list []cutWork) {
	if len(list) == 0 {
		delete(r.cut, id)
		return
	}
	r.cut[id] = list
}

// mayReturn states whether the work's caller is waited for still.
func (c *cutWork) mayReturn(now time.Time) bool {
	return now.Sub(c.at) < returnsWithin
}

// crowdGoesFirst states whether a crowd that returns goes before a request, and writes a
// line for each crowd. The caller holds the lock.
func (s *Scheduler) crowdGoesFirst(p *state, w *Waiter, plan *placement.Plan, engines int, now time.Time) bool {
	r := &p.returning
	known := r.crowds
	first := r.goesFirst(w, plan, engines, now)
	if r.crowds > known {
		s.log.Info("crowd returns", "service", w.ask.Service, "streams", r.crowd.streams, "worth", r.crowd.worth,
			"for_ms", r.crowd.until.Sub(now).Milliseconds(), "engines", engines)
	}
	return first
}

// goesFirst states whether a crowd that returns goes before a request: a long reading
// begins once the streams of the crowd have been taken up or can't be in time any more,
// when it is in time later, too, or is late anyway, or its engines' part of the crowd is
// worth more. Streams that wait to be read on its engines would else wait for all of it.
func (r *returning) goesFirst(w *Waiter, plan *placement.Plan, engines int, now time.Time) bool {
	if plan.Read < crowdReading {
		return false
	}
	r.gather(engines, now)
	wait := r.crowd.until.Sub(now)
	if wait <= 0 {
		return false
	}
	left := w.request.TargetAt.Sub(now)
	if w.late || plan.First+wait < left {
		return true
	}
	part := float64(len(plan.Others)+1) / float64(engines)
	return part*r.crowd.worth > w.request.Worth
}

// gather looks whether what was cut and may still be taken up in time is a crowd.
func (r *returning) gather(engines int, now time.Time) {
	if len(r.cut) < crowdLeast {
		return
	}
	found := crowdOf(r.inTime(now))
	if now.After(r.crowd.until) {
		r.crowd = crowd{}
	}
	if found.streams < crowdLeast || float64(found.streams) < crowdShare*float64(engines) {
		return
	}
	if r.crowd.streams == 0 {
		r.crowds++
	}
	if found.streams > r.crowd.streams {
		r.crowd.streams, r.crowd.worth = found.streams, found.worth
	}
	r.crowd.until = later(r.crowd.until, found.until)
}

// crowdOf returns the crowd that streams are, however few. Those that bear much longer
// pauses than others are not waited for.
func crowdOf(streams []cutWork) crowd {
	shortest := time.Duration(math.MaxInt64)
	for _, c := range streams {
		shortest = min(shortest, c.gap)
	}
	var out crowd
	for _, c := range streams {
		if c.gap <= crowdGaps*shortest {
			out.streams++
			out.worth += c.worth
			out.until = later(out.until, c.dueAt)
		}
	}
	return out
}

// inTime returns the streams that may still be taken up in time.
func (r *returning) inTime(now time.Time) []cutWork {
	var out []cutWork
	for _, list := range r.cut {
		for _, c := range list {
			if c.resumes && c.dueAt.After(now) && c.mayReturn(now) {
				out = append(out, c)
			}
		}
	}
	return out
}
