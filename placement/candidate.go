// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import (
	"time"
)

// candidate is an engine with what reading a part there would do.
type candidate struct {
	engine *Engine
	// othersLoss is what others lose.
	othersLoss float64
	// cost is what others lose and what the request itself loses here.
	cost float64
	// firstEvent is the time to the firstEvent event, as far as this engine goes.
	firstEvent time.Duration
	// delay is what the reads that wait there take longer.
	delay time.Duration
	// freeMemory is the memory that may be used, in tokens.
	freeMemory int
	// hasSlot states whether a request may run there.
	hasSlot bool
	// freeSlots is how many slots are free.
	freeSlots int
	// pass is how long the engine's next pass would take.
	pass time.Duration
	// jointPrefill states that the engine has parts of prompts to read that it shares
	// with others.
	jointPrefill bool
	// crowded is 1 for an engine that should not be filled further, else 0.
	crowded int
	// pause is the longest pause that the request's stream would have there.
	pause time.Duration
	// needsSimulation states that more than the next pass is to be looked at.
	needsSimulation bool
	// decodeCost is what it costs beside that the engine gets the request itself.
	decodeCost float64
	// index is the engine's place in the fixed index of engines.
	index int
}

// promptShare is what an engine would have to read.
type promptShare struct {
	tokens int
	time   time.Duration
	// joint states that several engines read the prompt.
	joint bool
	// transitTime is how long it takes until the engine has it.
	transitTime time.Duration
}

// load is what an engine has before it after its present pass.
type load struct {
	// wait is what is left of the present pass.
	wait time.Duration
	// running counts the requests that have a slot, and writers those that
	// write.
	running  int
	decoding int
	// context is what a step has to look at, in tokens.
	context int
	// joint are parts that several engines read, and own whole prompts.
	joint pendingPrompts
	whole pendingPrompts
	// jointPrefill states that some of a joint part is left, in this pass or later.
	jointPrefill bool
}

// pendingPrompts are prompts that wait to be read.
type pendingPrompts struct {
	tokens int
	time   time.Duration
}

// pending returns all that waits to be read.
func (l *load) pending() pendingPrompts {
	return pendingPrompts{
		tokens: l.joint.tokens + l.whole.tokens,
		time:   l.joint.time + l.whole.time,
	}
}

// add adds what the present pass leaves of a job's reads.
func (r *pendingPrompts) add(j *Job) {
	n := j.PromptLeft - j.inPass
	r.tokens += n
	r.time += j.prefillTime(n)
}

// load returns what the engine has before it.
func (e *Engine) load(now time.Time) load {
	var l load
	if !e.passEnd.IsZero() {
		l.wait = max(e.passEnd.Sub(now), 0)
	}
	for _, j := range e.Jobs {
		if !j.Helper {
			l.running++
		}
		l.jointPrefill = l.jointPrefill || j.Joint && !j.isPrefilled(now)
		switch left := j.PromptLeft - j.inPass; {
		case left == 0:
			l.context += j.Context
			if !j.Helper {
				l.decoding++
			}
		case j.Joint:
			l.joint.add(j)
		default:
			l.whole.add(j)
		}
	}
	l.joint.time = e.scaled(l.joint.time)
	l.whole.time = e.scaled(l.whole.time)
	return l
}

// estimate returns what reading a part on an engine with a load would do, as far as the next
// pass tells.
func (e *Engine) estimate(l *load, p promptShare) candidate {
	p.time = e.scaled(p.time)
	pass := time.Duration(0)
	if l.decoding > 0 {
		pass = e.scaled(e.Model.PassTime(l.decoding, l.context))
	}
	budget := e.prefillBudget(l.decoding)
	waiting := l.pending()
	before := pass + waiting.timeWithin(budget)
	with := pendingPrompts{
		tokens: waiting.tokens + p.tokens,
		time:   waiting.time + p.time,
	}
	after := pass + with.timeWithin(budget)
	c := candidate{
		engine:       e,
		firstEvent:   l.startDelay(p, before) + l.firstEvent(p, pass, budget),
		freeMemory:   e.usableMemory(),
		hasSlot:      l.running < e.Slots && !e.Full,
		freeSlots:    e.Slots - l.running,
		pass:         after,
		jointPrefill: l.jointPrefill,
		pause:        e.scaled(e.Model.PassTime(l.decoding+1, l.context+p.tokens)),
	}
	if p.joint || l.decoding > 0 && with.tokens <= budget {
		c.delay = p.time
	}
	c.needsSimulation = waiting.tokens > 0 || p.tokens > budget
	if c.needsSimulation {
		return c
	}
	for _, j := range e.Jobs {
		c.othersLoss += j.addedLoss(before, after, c.delay)
	}
	return c
}

// startDelay returns when the first pass begins that a part is in, when the next pass takes
// a time without it. A part that is on its way when that pass begins waits for its end:
// with passes of 72 ms and 6 ms on the way that is one of twelve.
func (l *load) startDelay(p promptShare, next time.Duration) time.Duration {
	switch {
	case p.transitTime <= l.wait:
		return l.wait
	case next == 0:
		return p.transitTime
	}
	return max(l.wait+next, p.transitTime)
}

// timeWithin returns the time of what a pass with a budget of tokens reads.
func (r *pendingPrompts) timeWithin(budget int) time.Duration {
	if r.tokens <= budget || r.tokens == 0 {
		return r.time
	}
	return time.Duration(float64(r.time) * float64(budget) / float64(r.tokens))
}

// firstEvent returns when the firstEvent event of a part would come, from the end of the
// present pass.
func (l *load) firstEvent(p promptShare, pass time.Duration, budget int) time.Duration {
	ahead := pendingPrompts{
		tokens: p.tokens,
		time:   p.time,
	}
	behind := l.pending()
	if !p.joint {
		ahead.tokens += behind.tokens
		ahead.time += behind.time
	}
	if l.decoding == 0 {
		return ahead.time
	}
	passes := max((ahead.tokens-1)/budget+1, 1)
	d := time.Duration(passes)*pass + ahead.time
	if p.joint {
		// What waits behind it is read in the same passes as far as there is
		// room.
		d += behind.timeWithin(max(passes*budget-ahead.tokens, 0))
	}
	return d
}
