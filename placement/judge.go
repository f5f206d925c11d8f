// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import (
	"time"
)

// candidate is an engine with what reading a part there would do.
type candidate struct {
	engine *Engine
	// spoils is what others lose.
	spoils float64
	// cost is what others lose and what the request itself loses here.
	cost float64
	// first is the time to the first event, as far as this engine goes.
	first time.Duration
	// delay is what the reads that wait there take longer.
	delay time.Duration
	// free is the memory that may be used, in tokens.
	free int
	// slots states whether a request may run there.
	slots bool
	// left is how many slots are free.
	left int
	// pass is how long the engine's next pass would take.
	pass time.Duration
	// reading states that the engine has parts of prompts to read that it shares
	// with others.
	reading bool
	// crowded is 1 for an engine that should not be filled further, else 0.
	crowded int
	// pause is the longest pause that the request's stream would have there.
	pause time.Duration
	// ahead states that more than the next pass is to be looked at.
	ahead bool
	// headCost is what it costs beside that the engine gets the request itself.
	headCost float64
	// order is the engine's place in the fixed order of engines.
	order int
}

// part is what an engine would have to read.
type part struct {
	tokens int
	time   time.Duration
	// joint states that several engines read the prompt.
	joint bool
	// travel is how long it takes until the engine has it.
	travel time.Duration
}

// load is what an engine has before it after its present pass.
type load struct {
	// wait is what is left of the present pass.
	wait time.Duration
	// running counts the requests that have a slot, and writers those that
	// write.
	running int
	writers int
	// context is what a step has to look at, in tokens.
	context int
	// joint are parts that several engines read, and own whole prompts.
	joint reads
	own   reads
	// reading states that some of a joint part is left, in this pass or later.
	reading bool
}

// reads are prompts that wait to be read.
type reads struct {
	tokens int
	time   time.Duration
}

// waiting returns all that waits to be read.
func (l *load) waiting() reads {
	return reads{
		tokens: l.joint.tokens + l.own.tokens,
		time:   l.joint.time + l.own.time,
	}
}

// add adds what the present pass leaves of a job's reads.
func (r *reads) add(j *Job) {
	n := j.Tokens - j.inPass
	r.tokens += n
	r.time += j.read(n)
}

// load returns what the engine has before it.
func (e *Engine) load(now time.Time) load {
	var l load
	if !e.passEnd.IsZero() {
		l.wait = max(e.passEnd.Sub(now), 0)
	}
	for _, j := range e.Jobs {
		if !j.Part {
			l.running++
		}
		l.reading = l.reading || j.Joint && !j.isRead(now)
		switch left := j.Tokens - j.inPass; {
		case left == 0:
			l.context += j.Context
			if !j.Part {
				l.writers++
			}
		case j.Joint:
			l.joint.add(j)
		default:
			l.own.add(j)
		}
	}
	l.joint.time = e.paced(l.joint.time)
	l.own.time = e.paced(l.own.time)
	return l
}

// judge returns what reading a part on an engine with a load would do, as far as the next
// pass tells.
func (e *Engine) judge(l *load, p part) candidate {
	p.time = e.paced(p.time)
	pass := time.Duration(0)
	if l.writers > 0 {
		pass = e.paced(e.Model.Pass(l.writers, l.context))
	}
	budget := e.budget(l.writers)
	waiting := l.waiting()
	before := pass + waiting.within(budget)
	with := reads{
		tokens: waiting.tokens + p.tokens,
		time:   waiting.time + p.time,
	}
	after := pass + with.within(budget)
	c := candidate{
		engine:  e,
		first:   l.starts(p, before) + l.first(p, pass, budget),
		free:    e.room(),
		slots:   l.running < e.Slots && !e.Full,
		left:    e.Slots - l.running,
		pass:    after,
		reading: l.reading,
		pause:   e.paced(e.Model.Pass(l.writers+1, l.context+p.tokens)),
	}
	if p.joint || l.writers > 0 && with.tokens <= budget {
		c.delay = p.time
	}
	c.ahead = waiting.tokens > 0 || p.tokens > budget
	if c.ahead {
		return c
	}
	for _, j := range e.Jobs {
		c.spoils += j.harm(before, after, c.delay)
	}
	return c
}

// starts returns when the first pass begins that a part is in, when the next pass takes
// a time without it. A part that is on its way when that pass begins waits for its end:
// with passes of 72 ms and 6 ms on the way that is one of twelve.
func (l *load) starts(p part, next time.Duration) time.Duration {
	switch {
	case p.travel <= l.wait:
		return l.wait
	case next == 0:
		return p.travel
	}
	return max(l.wait+next, p.travel)
}

// within returns the time of what a pass with a budget of tokens reads.
func (r *reads) within(budget int) time.Duration {
	if r.tokens <= budget || r.tokens == 0 {
		return r.time
	}
	return time.Duration(float64(r.time) * float64(budget) / float64(r.tokens))
}

// first returns when the first event of a part would come, from the end of the
// present pass.
func (l *load) first(p part, pass time.Duration, budget int) time.Duration {
	ahead := reads{
		tokens: p.tokens,
		time:   p.time,
	}
	behind := l.waiting()
	if !p.joint {
		ahead.tokens += behind.tokens
		ahead.time += behind.time
	}
	if l.writers == 0 {
		return ahead.time
	}
	passes := max((ahead.tokens-1)/budget+1, 1)
	d := time.Duration(passes)*pass + ahead.time
	if p.joint {
		// What waits behind it is read in the same passes as far as there is
		// room.
		d += behind.within(max(passes*budget-ahead.tokens, 0))
	}
	return d
}
