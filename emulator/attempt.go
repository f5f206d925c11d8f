// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package emulator

import (
	"time"

	"github.com/linkmast/linkmast/pool"
)

// attempt is a request at its engines.
type attempt struct {
	caller  *caller
	id      string
	grant   pool.Grant
	engine  *engine
	helpers []*engine
	head    *job
	// unread counts the engines that still read their parts.
	unread int
	events int
	// heard is when the entry last heard of it.
	heard time.Time
	// looks is when the entry looks again for another place.
	looks time.Duration
	ended bool
}

// newAttempt returns an attempt at a place.
func newAttempt(c *caller, id string, g pool.Grant) *attempt {
	a := &attempt{
		caller: c,
		id:     id,
		grant:  g,
		engine: c.play.engines[g.Instance],
		unread: len(g.Shares) + 1,
	}
	for _, r := range g.Shares {
		a.helpers = append(a.helpers, c.play.engines[r.Instance])
	}
	return a
}

// begin gives the engines their parts.
func (a *attempt) begin() {
	if a.ended {
		return
	}
	c := a.caller
	tokens := max(c.request.Prompt/a.unread, 1)
	perToken := a.engine.model.PrefillTime(c.request.Prompt, a.unread) / time.Duration(tokens)
	memory := c.request.Prompt + c.request.Events*c.play.sheet.Engines.Stride
	joint := len(a.helpers) > 0
	for i, e := range a.helpers {
		hold := a.grant.Shares[i].Reserved
		memory -= hold
		e.add(&job{
			attempt:  a,
			part:     true,
			joint:    true,
			tokens:   tokens,
			perToken: perToken,
			memory:   hold,
			context:  hold,
		})
	}
	a.head = &job{
		attempt:  a,
		joint:    joint,
		tokens:   tokens,
		perToken: perToken,
		memory:   max(memory, 0),
		context:  tokens,
		events:   c.request.Events - c.events,
	}
	a.engine.add(a.head)
}

// read notes that an engine has read its part. The first event comes after the last one.
func (a *attempt) read() {
	a.unread--
	if a.unread > 0 {
		return
	}
	a.head.event()
	a.engine.start()
}

// event passes an event on to the entry and the caller.
func (a *attempt) event(last bool) {
	p := a.caller.play
	if last {
		a.leave()
	}
	p.clock.after(p.hops(1), func() {
		if a.ended {
			return
		}
		a.heard = p.clock.now
		a.events++
		if a.events == 1 {
			p.clock.after(p.hops(1), func() { p.pool.FirstEventFrom(a.id, service, a.caller.entry()) })
		}
		p.clock.after(p.hops(1), func() { a.caller.event(last) })
	})
}

// leave takes the attempt from its engines.
func (a *attempt) leave() {
	a.engine.remove(a)
	for _, e := range a.helpers {
		e.remove(a)
	}
}

// stop ends the attempt, and tells the owner how.
func (a *attempt) stop(o pool.Outcome) {
	a.ended = true
	p := a.caller.play
	p.clock.after(p.hops(1), a.leave)
	p.end(a.caller, a.id, o, p.hops(1))
}
