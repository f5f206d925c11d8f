// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import (
	"math"
	"slices"
	"time"
)

// forecast is what becomes of a job until the engine has read all that it has.
type forecast struct {
	job *Job
	// left are the tokens still to read.
	left int
	// first is when its first event comes, from now; it has come already for a job that
	// writes.
	first time.Duration
	// pause is the longest pause between its events.
	pause time.Duration
}

// loss returns what a job loses by what is foreseen.
func (c *forecast) loss(now time.Time) float64 {
	j := c.job
	if j.Part || j.Stake == 0 {
		return 0
	}
	late := 0.0
	if j.Tokens > j.inPass {
		late = lateness(now.Add(c.first).Sub(j.AskedAt), j.TargetAt.Sub(j.AskedAt))
	}
	if j.Gap > 0 {
		late = max(late, j.pauseLoss(c.pause))
	}
	return j.Stake * late
}

// foresight plays an engine forward, pass by pass, until all that it has is read. It can
// be used again; the zero value is ready for use.
type foresight struct {
	engine *Engine
	// at is the end of the pass that was played last, from now.
	at time.Duration
	// jobs are the engine's jobs and, last, a part that is added.
	jobs []forecast
	part Job
	// reading are the indices of the jobs that are read, in the order in which they are,
	// and writing those of the jobs that write.
	reading []int
	writing []int
	context int
}

// play plays an engine with a part, or with none, and returns what becomes of its jobs
// and, last, of the part. The result holds until the next call.
func (f *foresight) play(e *Engine, p *part, now time.Time) []forecast {
	f.begin(e, now)
	if p != nil {
		f.join(p)
	}
	for len(f.reading) > 0 {
		f.pass(math.MaxInt64)
	}
	return f.jobs
}

// begin sets up the state at the end of the engine's present pass.
func (f *foresight) begin(e *Engine, now time.Time) {
	f.engine, f.at, f.context = e, 0, 0
	f.jobs, f.reading, f.writing = f.jobs[:0], f.reading[:0], f.writing[:0]
	if !e.passEnd.IsZero() {
		f.at = max(e.passEnd.Sub(now), 0)
	}
	for i, j := range e.Jobs {
		left := j.Tokens - j.inPass
		f.jobs = append(f.jobs, forecast{
			job:   j,
			left:  left,
			first: f.at,
		})
		switch {
		case left > 0 && j.Joint:
			// Joint parts go before other prompts, the latest first.
			f.reading = slices.Insert(f.reading, 0, i)
		case left > 0:
			f.reading = append(f.reading, i)
		default:
			f.writes(i)
		}
	}
}

// writes lets a job write, or hold its memory, from now on.
func (f *foresight) writes(i int) {
	j := f.jobs[i].job
	f.context += j.Context
	if !j.Part {
		f.writing = append(f.writing, i)
	}
}

// join plays until a part has come that is on its way, and adds it to what is read. What
// comes during a pass waits for its end.
func (f *foresight) join(p *part) {
	for f.at < p.travel && len(f.reading)+len(f.writing) > 0 {
		f.pass(p.travel - f.at)
	}
	f.at = max(f.at, p.travel)
	f.part = Job{
		Tokens:   p.tokens,
		PerToken: p.time / time.Duration(max(p.tokens, 1)),
		Joint:    p.joint,
	}
	i := len(f.jobs)
	f.jobs = append(f.jobs, forecast{
		job:  &f.part,
		left: p.tokens,
	})
	if p.joint {
		f.reading = slices.Insert(f.reading, 0, i)
		return
	}
	f.reading = append(f.reading, i)
}

// pass plays one pass. Without writers those are short: they are played together until a
// prompt is read, or for so long.
func (f *foresight) pass(long time.Duration) {
	var length time.Duration
	if n := len(f.writing); n > 0 {
		length = f.engine.Model.Pass(n, f.context) + f.read(f.engine.Model.Budget(n))
	} else {
		c := &f.jobs[f.reading[0]]
		length = c.job.read(c.left)
		left := 0
		if length > long {
			left = c.left - int(float64(c.left)*float64(long)/float64(length))
			length = long
		}
		c.left = left
	}
	f.at += length
	for _, i := range f.writing {
		f.jobs[i].pause = max(f.jobs[i].pause, length)
	}
	for len(f.reading) > 0 && f.jobs[f.reading[0]].left == 0 {
		i := f.reading[0]
		f.reading = slices.Delete(f.reading, 0, 1)
		f.jobs[i].first = f.at
		f.writes(i)
	}
}

// read reads as many tokens as a pass may, and returns how long that takes.
func (f *foresight) read(budget int) time.Duration {
	length := time.Duration(0)
	for _, i := range f.reading {
		c := &f.jobs[i]
		take := min(c.left, budget)
		c.left -= take
		budget -= take
		length += c.job.read(take)
	}
	return length
}

// outlook foresees what parts do to engines at one moment.
type outlook struct {
	now time.Time
	f   foresight
	// loads are what the engines have before them.
	loads []load
	// lost is what the jobs of each engine lose without a part; NaN until it is known.
	lost []float64
}

// newOutlook returns one for some engines.
func newOutlook(engines []*Engine, now time.Time) *outlook {
	o := &outlook{
		now:   now,
		loads: make([]load, len(engines)),
		lost:  make([]float64, len(engines)),
	}
	for i, e := range engines {
		o.loads[i] = e.load(now)
		o.lost[i] = math.NaN()
	}
	return o
}

// judge corrects what reading a part does on the engine with an index, where that takes
// more than the next pass: what the engine has to read makes streams pause that begin
// after it, the part's own as well.
//
// It guards against prompts that are read one after the other on an engine, the first of
// which writes while the next is read: 0.913 of the worth of emulated days in place of
// 0.948 by the next pass alone (60 engines, bursts of long prompts, 24 seeds).
func (o *outlook) judge(c *candidate, i int, p part) {
	if math.IsNaN(o.lost[i]) {
		o.lost[i] = o.sum(o.f.play(c.engine, nil, o.now))
	}
	jobs := o.f.play(c.engine, &p, o.now)
	own := jobs[len(jobs)-1]
	c.spoils = o.sum(jobs[:len(jobs)-1]) - o.lost[i]
	c.first = own.first
	c.pause = own.pause
}

// sum returns what some jobs lose.
func (o *outlook) sum(jobs []forecast) float64 {
	sum := 0.0
	for i := range jobs {
		sum += jobs[i].loss(o.now)
	}
	return sum
}
