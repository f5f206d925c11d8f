// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import (
	"time"
)

// candidate is an engine with the estimated effects of prefilling a share on it.
type candidate struct {
	engine *Engine
	// othersLoss is the worth that other requests lose.
	othersLoss float64
	// cost is the weighted loss of other requests plus that of the request itself. For a whole
	// prompt it includes decodeCost.
	cost float64
	// firstEvent is the time to the first event if this engine is the slowest to prefill its
	// share.
	firstEvent time.Duration
	// delay is how long the share postpones waiting prefills on the engine.
	delay time.Duration
	// freeMemory is the memory that a plan may use, in tokens.
	freeMemory int
	// hasSlot states whether the engine can accept the request itself.
	hasSlot bool
	// freeSlots is the number of unoccupied slots.
	freeSlots int
	// pass is the duration of the engine's next pass with the share.
	pass time.Duration
	// jointPrefill states that the engine has unfinished shares of joint prefills.
	jointPrefill bool
	// crowded is 1 for an engine that should not be packed further, else 0.
	crowded int
	// pause is the longest predicted pause in the request's stream on this engine.
	pause time.Duration
	// needsSimulation states that the share affects more than the next pass, so that the estimate
	// does not suffice.
	needsSimulation bool
	// decodeCost is the additional cost of decoding the request on this engine.
	decodeCost float64
	// index is the engine's position in the list of usable engines.
	index int
}

// promptShare is what one engine would have to prefill: the whole prompt, or its share of a
// joint prefill.
type promptShare struct {
	tokens int
	// time is the prefill time of the tokens.
	time time.Duration
	// joint states that several engines prefill the prompt.
	joint bool
	// transitTime is how long the request takes to reach the engine.
	transitTime time.Duration
}

// load is an engine's remaining work after its current pass.
type load struct {
	// wait is the time until the current pass ends.
	wait time.Duration
	// running counts the occupied slots, and decoding the requests that decode.
	running  int
	decoding int
	// context is the number of context tokens of one decode step.
	context int
	// joint sums up the shares of joint prefills, and whole the other prompts.
	joint pendingPrompts
	whole pendingPrompts
	// jointPrefill states that a share of a joint prefill is unfinished, including one in the
	// current pass.
	jointPrefill bool
}

// pendingPrompts sums up prompt tokens that wait for prefill.
type pendingPrompts struct {
	tokens int
	time   time.Duration
}

// pending returns the sum of all waiting prompts.
func (l *load) pending() pendingPrompts {
	return pendingPrompts{
		tokens: l.joint.tokens + l.whole.tokens,
		time:   l.joint.time + l.whole.time,
	}
}

// add adds the prompt tokens of j that remain after the current pass.
func (p *pendingPrompts) add(j *Job) {
	n := j.PromptLeft - j.inPass
	p.tokens += n
	p.time += j.prefillTime(n)
}

// load returns the engine's remaining work after its current pass.
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

// estimate predicts the effects of prefilling share p on an engine with load l. The loss of other
// requests covers only the next pass, and is left out if a simulation is needed.
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

// startDelay returns the time until the first pass that includes share p, where next is the
// duration of the next pass without it. A share that is still in transit when the next pass
// starts has to wait until that pass ends.
func (l *load) startDelay(p promptShare, next time.Duration) time.Duration {
	switch {
	case p.transitTime <= l.wait:
		return l.wait
	case next == 0:
		return p.transitTime
	}
	return max(l.wait+next, p.transitTime)
}

// timeWithin returns the prefill time of the tokens that fit into a pass with the given budget.
func (p *pendingPrompts) timeWithin(budget int) time.Duration {
	if p.tokens <= budget || p.tokens == 0 {
		return p.time
	}
	return time.Duration(float64(p.time) * float64(budget) / float64(p.tokens))
}

// firstEvent returns the time from the start of the first pass that includes share p to its
// first event, where pass is the decode time of one pass.
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
		// Prompts behind the share use up what is left of the budget of these passes.
		d += behind.timeWithin(max(passes*budget-ahead.tokens, 0))
	}
	return d
}
