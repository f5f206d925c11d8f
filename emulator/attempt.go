// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package emulator

import (
	"time"

	"github.com/linkmast/linkmast/pool"
)

// attempt is one attempt of a request: its placement and its jobs on the engines.
type attempt struct {
	caller  *caller
	id      string
	grant   pool.Grant
	engine  *engine
	helpers []*engine
	mainJob *job
	// pendingPrefills is the number of engines that still prefill their share of the
	// prompt.
	pendingPrefills int
	// events is the number of events that the entry instance has received.
	events int
	// lastEventAt is when the entry instance received the last event, or sent the attempt.
	lastEventAt time.Time
	// recheckAfter is the delay until the entry instance checks a silent attempt again.
	recheckAfter time.Duration
	ended        bool
}

// newAttempt returns an attempt at the engines of a placement.
func newAttempt(c *caller, id string, g pool.Grant) *attempt {
	a := &attempt{
		caller:          c,
		id:              id,
		grant:           g,
		engine:          c.play.engines[g.Instance],
		pendingPrefills: len(g.Shares) + 1,
	}
	for _, share := range g.Shares {
		a.helpers = append(a.helpers, c.play.engines[share.Instance])
	}
	return a
}

// begin adds the attempt's jobs to its engines.
func (a *attempt) begin() {
	if a.ended {
		return
	}
	c := a.caller
	tokens := max(c.request.Prompt/a.pendingPrefills, 1)
	perToken := a.engine.model.PrefillTime(c.request.Prompt, a.pendingPrefills) / time.Duration(tokens)
	memory := c.request.Prompt + c.request.Events*c.play.sheet.Engines.StepsPerPass
	joint := len(a.helpers) > 0
	for i, e := range a.helpers {
		reserved := a.grant.Shares[i].Reserved
		memory -= reserved
		e.add(&job{
			attempt:    a,
			isShare:    true,
			joint:      true,
			tokensLeft: tokens,
			perToken:   perToken,
			memory:     reserved,
			context:    reserved,
		})
	}
	a.mainJob = &job{
		attempt:    a,
		joint:      joint,
		tokensLeft: tokens,
		perToken:   perToken,
		memory:     max(memory, 0),
		context:    tokens,
		eventsLeft: c.request.Events - c.events,
	}
	a.engine.add(a.mainJob)
}

// finishPrefill records that one engine has prefilled its share. After the last share the
// main engine sends the first event.
func (a *attempt) finishPrefill() {
	a.pendingPrefills--
	if a.pendingPrefills > 0 {
		return
	}
	a.mainJob.emitEvent()
	a.engine.startPass()
}

// sendEvent sends an event from the main engine to the entry instance, which forwards it to the
// caller and reports the first one to the pool. The last event also removes the attempt's jobs.
func (a *attempt) sendEvent(last bool) {
	p := a.caller.play
	if last {
		a.removeFromEngines()
	}
	p.clock.after(p.delay(1), func() {
		if a.ended {
			return
		}
		a.lastEventAt = p.clock.now
		a.events++
		if a.events == 1 {
			p.clock.after(p.delay(1), func() { p.pool.FirstEventFrom(a.id, service, a.caller.entry()) })
		}
		p.clock.after(p.delay(1), func() { a.caller.receiveEvent(last) })
	})
}

// removeFromEngines removes the attempt's jobs from all its engines.
func (a *attempt) removeFromEngines() {
	a.engine.remove(a)
	for _, e := range a.helpers {
		e.remove(a)
	}
}

// stop ends the attempt and reports the outcome to the pool.
func (a *attempt) stop(o pool.Outcome) {
	a.ended = true
	p := a.caller.play
	p.clock.after(p.delay(1), a.removeFromEngines)
	p.reportEnd(a.caller, a.id, o, p.delay(1))
}
