// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package emulator

import (
	"time"

	"github.com/linkmast/linkmast/pool"
)

// attempt is a request at its engines.
type attempt struct {
	caller       *caller
	id           string
	grant        pool.Grant
	engine       *engine
	shareEngines []*engine
	mainJob      *job
	// pendingPrefills counts the engines that still read their parts.
	pendingPrefills int
	events          int
	// lastEventAt is when the entry last lastEventAt of it.
	lastEventAt time.Time
	// recheckAfter is when the entry recheckAfter again for another place.
	recheckAfter time.Duration
	ended        bool
}

// newAttempt returns an attempt at a place.
func newAttempt(c *caller, id string, g pool.Grant) *attempt {
	a := &attempt{
		caller:          c,
		id:              id,
		grant:           g,
		engine:          c.play.engines[g.Instance],
		pendingPrefills: len(g.Shares) + 1,
	}
	for _, r := range g.Shares {
		a.shareEngines = append(a.shareEngines, c.play.engines[r.Instance])
	}
	return a
}

// begin gives the engines their parts.
func (a *attempt) begin() {
	if a.ended {
		return
	}
	c := a.caller
	tokens := max(c.request.Prompt/a.pendingPrefills, 1)
	perToken := a.engine.model.PrefillTime(c.request.Prompt, a.pendingPrefills) / time.Duration(tokens)
	memory := c.request.Prompt + c.request.Events*c.play.sheet.Engines.Stride
	joint := len(a.shareEngines) > 0
	for i, e := range a.shareEngines {
		hold := a.grant.Shares[i].Reserved
		memory -= hold
		e.add(&job{
			attempt:    a,
			isShare:    true,
			joint:      true,
			tokensLeft: tokens,
			perToken:   perToken,
			memory:     hold,
			context:    hold,
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

// finishPrefill notes that an engine has finishPrefill its part. The first event comes after the last one.
func (a *attempt) finishPrefill() {
	a.pendingPrefills--
	if a.pendingPrefills > 0 {
		return
	}
	a.mainJob.emitEvent()
	a.engine.startPass()
}

// sendEvent passes an sendEvent on to the entry and the caller.
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

// removeFromEngines takes the attempt from its engines.
func (a *attempt) removeFromEngines() {
	a.engine.remove(a)
	for _, e := range a.shareEngines {
		e.remove(a)
	}
}

// stop ends the attempt, and tells the owner how.
func (a *attempt) stop(o pool.Outcome) {
	a.ended = true
	p := a.caller.play
	p.clock.after(p.delay(1), a.removeFromEngines)
	p.reportEnd(a.caller, a.id, o, p.delay(1))
}
