// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import (
	"math"
	"slices"
	"time"
)

// forecast is the predicted progress of a job until its engine has no prompt left to prefill.
type forecast struct {
	job *Job
	// promptLeft is the number of prompt tokens still to prefill.
	promptLeft int
	// firstEvent is the time until the first event. It is meaningless for a job that is already
	// decoding.
	firstEvent time.Duration
	// pause is the longest pause between the job's events.
	pause time.Duration
}

// loss returns the worth that the job loses according to the forecast.
func (f *forecast) loss(now time.Time) float64 {
	j := f.job
	if j.Helper || j.Stake == 0 {
		return 0
	}
	late := 0.0
	if j.PromptLeft > j.inPass {
		late = lateness(now.Add(f.firstEvent).Sub(j.PlacedAt), j.TargetAt.Sub(j.PlacedAt))
	}
	if j.Gap > 0 {
		late = max(late, j.pauseLoss(f.pause))
	}
	return j.Stake * late
}

// simulation runs an engine's model forward until all its prompts are prefilled. The zero value
// is ready for use, and a simulation can be reused.
type simulation struct {
	engine *Engine
	// at is the end of the latest simulated pass, relative to the start of the simulation.
	at time.Duration
	// jobs holds a forecast for each of the engine's jobs and, last, for an added share.
	jobs  []forecast
	share Job
	// prefilling holds the indices of jobs with prompt tokens left, in order of prefill, and
	// decoding those of decoding requests.
	prefilling []int
	decoding   []int
	// context is the number of context tokens of one decode step.
	context int
}

// run simulates an engine, with an additional share if p is not nil. It returns a forecast for
// each job and, last, for the share. The result is valid until the next call.
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

// start sets up the state at the end of the engine's current pass.
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
			// Joint shares go before other prompts, the latest first.
			s.prefilling = slices.Insert(s.prefilling, 0, i)
		case left > 0:
			s.prefilling = append(s.prefilling, i)
		default:
			s.startDecode(i)
		}
	}
}

// startDecode adds the job's context to the decode steps and, unless it is a helper's share,
// counts it as decoding.
func (s *simulation) startDecode(i int) {
	j := s.jobs[i].job
	s.context += j.Context
	if !j.Helper {
		s.decoding = append(s.decoding, i)
	}
}

// addShare simulates passes until the share arrives and then adds it to the prompts to prefill.
// A share that arrives during a pass waits for its end.
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

// runPass simulates one pass. Without decoding requests it continues until the first prompt is
// complete, but no longer than the given time.
func (s *simulation) runPass(limit time.Duration) {
	var length time.Duration
	if n := len(s.decoding); n > 0 {
		length = s.engine.scaled(s.engine.Model.PassTime(n, s.context) + s.prefill(s.engine.Model.PrefillBudget(n)))
	} else {
		f := &s.jobs[s.prefilling[0]]
		length = s.engine.scaled(f.job.prefillTime(f.promptLeft))
		left := 0
		if length > limit {
			left = f.promptLeft - int(float64(f.promptLeft)*float64(limit)/float64(length))
			length = limit
		}
		f.promptLeft = left
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

// prefill consumes up to budget prompt tokens and returns the time this takes.
func (s *simulation) prefill(budget int) time.Duration {
	length := time.Duration(0)
	for _, i := range s.prefilling {
		f := &s.jobs[i]
		take := min(f.promptLeft, budget)
		f.promptLeft -= take
		budget -= take
		length += f.job.prefillTime(take)
	}
	return length
}

// evaluation compares the effects of adding shares to engines at one moment.
type evaluation struct {
	now time.Time
	sim simulation
	// loads holds the load of each engine.
	loads []load
	// baseLoss is what the jobs of each engine lose without an additional share; NaN until
	// computed.
	baseLoss []float64
}

// newEvaluation returns an evaluation with the current loads of the engines.
func newEvaluation(engines []*Engine, now time.Time) *evaluation {
	ev := &evaluation{
		now:      now,
		loads:    make([]load, len(engines)),
		baseLoss: make([]float64, len(engines)),
	}
	for i, e := range engines {
		ev.loads[i] = e.load(now)
		ev.baseLoss[i] = math.NaN()
	}
	return ev
}

// simulate replaces the estimates of c by simulated ones, for a share that affects more than the
// next pass of engine i. A stream pauses while the prompts behind its own are prefilled. For
// streams that are not decoding yet, including the request's own, the estimate would miss these
// pauses, and prompts would be prefilled one after the other on an engine whose first stream pauses
// for each.
func (ev *evaluation) simulate(c *candidate, i int, p promptShare) {
	if math.IsNaN(ev.baseLoss[i]) {
		ev.baseLoss[i] = ev.totalLoss(ev.sim.run(c.engine, nil, ev.now))
	}
	jobs := ev.sim.run(c.engine, &p, ev.now)
	own := jobs[len(jobs)-1]
	c.othersLoss = ev.totalLoss(jobs[:len(jobs)-1]) - ev.baseLoss[i]
	c.firstEvent = own.firstEvent
	c.pause = own.pause
}

// totalLoss returns the sum of the losses of some jobs.
func (ev *evaluation) totalLoss(jobs []forecast) float64 {
	sum := 0.0
	for i := range jobs {
		sum += jobs[i].loss(ev.now)
	}
	return sum
}
