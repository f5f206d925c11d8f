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

// loss returns what a job loses by what the simulation tells.
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

// simulation plays an engine forward, pass by pass, until all that it has is read. It can
// be used again; the zero value is ready for use.
type simulation struct {
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
func (s *simulation) play(e *Engine, p *part, now time.Time) []forecast {
	s.begin(e, now)
	if p != nil {
		s.join(p)
	}
	for len(s.reading) > 0 {
		s.pass(math.MaxInt64)
	}
	return s.jobs
}

// begin sets up the state at the end of the engine's present pass.
func (s *simulation) begin(e *Engine, now time.Time) {
	s.engine, s.at, s.context = e, 0, 0
	s.jobs, s.reading, s.writing = s.jobs[:0], s.reading[:0], s.writing[:0]
	if !e.passEnd.IsZero() {
		s.at = max(e.passEnd.Sub(now), 0)
	}
	for i, j := range e.Jobs {
		left := j.Tokens - j.inPass
		s.jobs = append(s.jobs, forecast{
			job:   j,
			left:  left,
			first: s.at,
		})
		switch {
		case left > 0 && j.Joint:
			// Joint parts go before other prompts, the latest first.
			s.reading = slices.Insert(s.reading, 0, i)
		case left > 0:
			s.reading = append(s.reading, i)
		default:
			s.writes(i)
		}
	}
}

// writes lets a job write, or hold its memory, from now on.
func (s *simulation) writes(i int) {
	j := s.jobs[i].job
	s.context += j.Context
	if !j.Part {
		s.writing = append(s.writing, i)
	}
}

// join plays until a part has come that is on its way, and adds it to what is read. What
// comes during a pass waits for its end.
func (s *simulation) join(p *part) {
	for s.at < p.travel && len(s.reading)+len(s.writing) > 0 {
		s.pass(p.travel - s.at)
	}
	s.at = max(s.at, p.travel)
	s.part = Job{
		Tokens:   p.tokens,
		PerToken: p.time / time.Duration(max(p.tokens, 1)),
		Joint:    p.joint,
	}
	i := len(s.jobs)
	s.jobs = append(s.jobs, forecast{
		job:  &s.part,
		left: p.tokens,
	})
	if p.joint {
		s.reading = slices.Insert(s.reading, 0, i)
		return
	}
	s.reading = append(s.reading, i)
}

// pass plays one pass. Without writers those are short: they are played together until a
// prompt is read, or for so long.
func (s *simulation) pass(long time.Duration) {
	var length time.Duration
	if n := len(s.writing); n > 0 {
		length = s.engine.paced(s.engine.Model.Pass(n, s.context) + s.read(s.engine.Model.Budget(n)))
	} else {
		c := &s.jobs[s.reading[0]]
		length = s.engine.paced(c.job.read(c.left))
		left := 0
		if length > long {
			left = c.left - int(float64(c.left)*float64(long)/float64(length))
			length = long
		}
		c.left = left
	}
	s.at += length
	for _, i := range s.writing {
		s.jobs[i].pause = max(s.jobs[i].pause, length)
	}
	for len(s.reading) > 0 && s.jobs[s.reading[0]].left == 0 {
		i := s.reading[0]
		s.reading = slices.Delete(s.reading, 0, 1)
		s.jobs[i].first = s.at
		s.writes(i)
	}
}

// read reads as many tokens as a pass may, and returns how long that takes.
func (s *simulation) read(budget int) time.Duration {
	length := time.Duration(0)
	for _, i := range s.reading {
		c := &s.jobs[i]
		take := min(c.left, budget)
		c.left -= take
		budget -= take
		length += c.job.read(take)
	}
	return length
}

// evaluation judges what parts do to engines at one moment.
type evaluation struct {
	now time.Time
	sim simulation
	// loads are what the engines have before them.
	loads []load
	// lost is what the jobs of each engine lose without a part; NaN until it is known.
	lost []float64
}

// newEvaluation returns one for some engines.
func newEvaluation(engines []*Engine, now time.Time) *evaluation {
	o := &evaluation{
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
// which writes while the next is read: by the next pass alone the figure of emulated days
// was 0.905, so it was 0.926 (60 engines, bursts of long prompts, 24 seeds).
func (o *evaluation) judge(c *candidate, i int, p part) {
	if math.IsNaN(o.lost[i]) {
		o.lost[i] = o.sum(o.sim.play(c.engine, nil, o.now))
	}
	jobs := o.sim.play(c.engine, &p, o.now)
	own := jobs[len(jobs)-1]
	c.spoils = o.sum(jobs[:len(jobs)-1]) - o.lost[i]
	c.first = own.first
	c.pause = own.pause
}

// sum returns what some jobs lose.
func (o *evaluation) sum(jobs []forecast) float64 {
	sum := 0.0
	for i := range jobs {
		sum += jobs[i].loss(o.now)
	}
	return sum
}
