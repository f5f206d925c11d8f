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
	// promptLeft are the tokens still to read.
	promptLeft int
	// firstEvent is when its firstEvent event comes, from now; it has come already for a job that
	// writes.
	firstEvent time.Duration
	// pause is the longest pause between its events.
	pause time.Duration
}

// loss returns what a job loses by what the simulation tells.
func (c *forecast) loss(now time.Time) float64 {
	j := c.job
	if j.Helper || j.Stake == 0 {
		return 0
	}
	late := 0.0
	if j.PromptLeft > j.inPass {
		late = lateness(now.Add(c.firstEvent).Sub(j.PlacedAt), j.TargetAt.Sub(j.PlacedAt))
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
	jobs  []forecast
	share Job
	// prefilling are the indices of the jobs that are read, in the order in which they are,
	// and writing those of the jobs that write.
	prefilling []int
	decoding   []int
	context    int
}

// run plays an engine with a part, or with none, and returns what becomes of its jobs
// and, last, of the part. The result holds until the next call.
func (s *simulation) run(e *Engine, p *promptShare, now time.Time) []forecast {
	s.start(e, now)
	if p != nil {
		s.addShare(p)
	}
	for len(s.prefilling) > 0 {
		s.runPass(math.MaxInt64)
	}
	return s.jobs
}

// start sets up the state at the end of the engine's present pass.
func (s *simulation) start(e *Engine, now time.Time) {
	s.engine, s.at, s.context = e, 0, 0
	s.jobs, s.prefilling, s.decoding = s.jobs[:0], s.prefilling[:0], s.decoding[:0]
	if !e.passEnd.IsZero() {
		s.at = max(e.passEnd.Sub(now), 0)
	}
	for i, j := range e.Jobs {
		left := j.PromptLeft - j.inPass
		s.jobs = append(s.jobs, forecast{
			job:        j,
			promptLeft: left,
			firstEvent: s.at,
		})
		switch {
		case left > 0 && j.Joint:
			// Joint parts go before other prompts, the latest first.
			s.prefilling = slices.Insert(s.prefilling, 0, i)
		case left > 0:
			s.prefilling = append(s.prefilling, i)
		default:
			s.startDecode(i)
		}
	}
}

// startDecode lets a job write, or hold its memory, from now on.
func (s *simulation) startDecode(i int) {
	j := s.jobs[i].job
	s.context += j.Context
	if !j.Helper {
		s.decoding = append(s.decoding, i)
	}
}

// addShare plays until a part has come that is on its way, and adds it to what is read. What
// comes during a pass waits for its end.
func (s *simulation) addShare(p *promptShare) {
	for s.at < p.transitTime && len(s.prefilling)+len(s.decoding) > 0 {
		s.runPass(p.transitTime - s.at)
	}
	s.at = max(s.at, p.transitTime)
	s.share = Job{
		PromptLeft:      p.tokens,
		PrefillPerToken: p.time / time.Duration(max(p.tokens, 1)),
		Joint:           p.joint,
	}
	i := len(s.jobs)
	s.jobs = append(s.jobs, forecast{
		job:        &s.share,
		promptLeft: p.tokens,
	})
	if p.joint {
		s.prefilling = slices.Insert(s.prefilling, 0, i)
		return
	}
	s.prefilling = append(s.prefilling, i)
}

// runPass plays one runPass. Without writers those are short: they are played together until a
// prompt is read, or for so long.
func (s *simulation) runPass(long time.Duration) {
	var length time.Duration
	if n := len(s.decoding); n > 0 {
		length = s.engine.scaled(s.engine.Model.PassTime(n, s.context) + s.prefill(s.engine.Model.PrefillBudget(n)))
	} else {
		c := &s.jobs[s.prefilling[0]]
		length = s.engine.scaled(c.job.prefillTime(c.promptLeft))
		left := 0
		if length > long {
			left = c.promptLeft - int(float64(c.promptLeft)*float64(long)/float64(length))
			length = long
		}
		c.promptLeft = left
	}
	s.at += length
	for _, i := range s.decoding {
		s.jobs[i].pause = max(s.jobs[i].pause, length)
	}
	for len(s.prefilling) > 0 && s.jobs[s.prefilling[0]].promptLeft == 0 {
		i := s.prefilling[0]
		s.prefilling = slices.Delete(s.prefilling, 0, 1)
		s.jobs[i].firstEvent = s.at
		s.startDecode(i)
	}
}

// prefill reads as many tokens as a pass may, and returns how long that takes.
func (s *simulation) prefill(budget int) time.Duration {
	length := time.Duration(0)
	for _, i := range s.prefilling {
		c := &s.jobs[i]
		take := min(c.promptLeft, budget)
		c.promptLeft -= take
		budget -= take
		length += c.job.prefillTime(take)
	}
	return length
}

// evaluation judges what parts do to engines at one moment.
type evaluation struct {
	now time.Time
	sim simulation
	// loads are what the engines have before them.
	loads []load
	// baseLoss is what the jobs of each engine lose without a part; NaN until it is known.
	baseLoss []float64
}

// newEvaluation returns one for some engines.
func newEvaluation(engines []*Engine, now time.Time) *evaluation {
	o := &evaluation{
		now:      now,
		loads:    make([]load, len(engines)),
		baseLoss: make([]float64, len(engines)),
	}
	for i, e := range engines {
		o.loads[i] = e.load(now)
		o.baseLoss[i] = math.NaN()
	}
	return o
}

// simulate corrects what reading a part does on the engine with an index, where that takes
// more than the next pass: what the engine has to read makes streams pause that begin
// after it, the part's own as well.
//
// It guards against prompts that are read one after the other on an engine, the first of
// which writes while the next is read: by the next pass alone the figure of emulated days
// was 0.905, so it was 0.926 (60 engines, bursts of long prompts, 24 seeds).
func (o *evaluation) simulate(c *candidate, i int, p promptShare) {
	if math.IsNaN(o.baseLoss[i]) {
		o.baseLoss[i] = o.totalLoss(o.sim.run(c.engine, nil, o.now))
	}
	jobs := o.sim.run(c.engine, &p, o.now)
	own := jobs[len(jobs)-1]
	c.othersLoss = o.totalLoss(jobs[:len(jobs)-1]) - o.baseLoss[i]
	c.firstEvent = own.firstEvent
	c.pause = own.pause
}

// totalLoss returns what some jobs lose.
func (o *evaluation) totalLoss(jobs []forecast) float64 {
	sum := 0.0
	for i := range jobs {
		sum += jobs[i].loss(o.now)
	}
	return sum
}
