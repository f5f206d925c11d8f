// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package emulator

import (
	"fmt"
	"math"
	"time"

	"github.com/linkmast/linkmast/placement"
	"github.com/linkmast/linkmast/pool"
)

// The habits of callers and entries.
const (
	// entries is over how many instances callers are spread: reports of two agree.
	entries = 32
	// tries is how often a caller asks.
	tries = 2
	// sends is how many engines one try is sent to at the most.
	sends = 2
	// retryShare is the part of its time left that a caller waits at the most before it
	// comes back.
	retryShare = 1.0 / 3
	// hintSpread is the deviation of the logarithm of what callers take the length of
	// answers for.
	hintSpread = 0.5
)

// caller is a request on its way, with the entry that serves it.
type caller struct {
	play    *play
	index   int
	request *Request
	kind    *Kind
	// hint is the length of the answer that the caller expects, in tokens.
	hint int

	// began is when it first asked, and asked when it asked last.
	began time.Time
	asked time.Time
	tries int
	// sends counts the engines of this try, and exclude names them.
	sends   int
	exclude []string
	attempt *attempt
	pending *pending
	// events is how many have come, the first of them at first, the last at last; gap
	// is the longest pause.
	events int
	first  time.Time
	last   time.Time
	gap    time.Duration
	// turn counts what ends the wait for a sign.
	turn int

	// done states that it has ended, with its fate.
	done bool
	fate Fate
	// moved states that it went elsewhere after a silence, and waited is the longest wait
	// for a place that was given.
	moved  bool
	waited time.Duration
	// held is the longest wait that ended with a refusal.
	held time.Duration
}

func newCaller(p *play, i int, r *Request) *caller {
	k := &p.sheet.Kinds[r.Kind]
	tokens := float64(r.Events * p.sheet.Engines.Stride)
	return &caller{
		play:    p,
		index:   i,
		request: r,
		kind:    k,
		hint:    int(tokens * math.Exp(hintSpread*p.draw.NormFloat64())),
	}
}

// entry names the entry that the caller's connection leads to.
func (c *caller) entry() string {
	return fmt.Sprint("n", c.index%entries)
}

// arrive lets the caller ask for the first time.
func (c *caller) arrive() {
	c.began = c.play.clock.now
	c.play.clock.after(time.Duration(c.kind.Deadline), func() { c.leave(Gone) })
	c.ask()
}

// ask sends the request to an entry.
func (c *caller) ask() {
	if c.done {
		return
	}
	c.tries++
	c.turn++
	c.sends = 0
	c.exclude = nil
	c.asked = c.play.clock.now
	c.last = c.asked
	c.awaitSign()
	c.play.clock.after(c.play.hops(1), c.place)
}

// patience is how long the caller waits for a sign.
func (c *caller) patience() time.Duration {
	return placement.Patience(time.Duration(c.kind.Target), time.Duration(c.kind.Gap))
}

// awaitSign lets the caller leave when nothing comes for too long.
func (c *caller) awaitSign() {
	turn := c.turn
	var look func()
	look = func() {
		if c.done || c.turn != turn {
			return
		}
		if left := c.last.Add(c.patience()).Sub(c.play.clock.now); left > 0 {
			c.play.clock.after(left, look)
			return
		}
		c.leave(Gone)
	}
	c.play.clock.after(c.patience(), look)
}

// place asks the owner of the pool for a place.
func (c *caller) place() {
	if c.done {
		return
	}
	entered := c.play.clock.now
	c.play.clock.after(c.play.ways(1), func() {
		if c.done {
			return
		}
		a := c.askFor(entered)
		c.pending = c.play.submit(a, func(g pool.Grant) {
			c.pending = nil
			c.waited = max(c.waited, g.Waited)
			c.play.clock.after(c.play.ways(2), func() { c.send(a.ID, g) })
		}, func(r *pool.Refusal) {
			c.pending = nil
			c.play.clock.after(c.play.hops(2), func() { c.refused(r) })
		})
	})
}

// askFor describes the request to the owner.
func (c *caller) askFor(entered time.Time) pool.PlacementRequest {
	now := c.play.clock.now
	c.play.asks++
	a := pool.PlacementRequest{
		ID:        fmt.Sprintf("r%d.%d", c.index, c.play.asks),
		Service:   service,
		Route:     c.kind.Name,
		RouteRank: c.kind.Rank,
		Content:   uint64(c.index) + 1,
		Prompt:    c.request.Prompt,
		Output:    c.hint,
		Target:    time.Duration(c.kind.Target) - now.Sub(entered),
		Gap:       time.Duration(c.kind.Gap),
		Deadline:  time.Duration(c.kind.Deadline) - now.Sub(c.began),
		Exclude:   c.exclude,
		Retry:     c.sends > 0,
	}
	if c.tries > 1 {
		a.Returning = true
		a.Elapsed = c.asked.Sub(c.began)
	}
	return a
}

// refused lets the caller come back, once.
func (c *caller) refused(r *pool.Refusal) {
	if c.done {
		return
	}
	c.held = max(c.held, c.play.clock.now.Sub(c.asked))
	left := time.Duration(c.kind.Deadline) - c.play.clock.now.Sub(c.began)
	if c.tries >= tries || left <= 0 {
		c.end(Refused)
		return
	}
	c.turn++
	wait := min(r.RetryAfter, time.Duration(retryShare*float64(left)))
	c.play.clock.after(wait, c.ask)
}

// send sends the request to its place.
func (c *caller) send(id string, g pool.Grant) {
	if c.done {
		c.play.end(c, id, pool.Abandoned, c.play.hops(1))
		return
	}
	c.sends++
	a := newAttempt(c, id, g)
	c.attempt = a
	c.play.clock.after(c.play.ways(1), a.begin)
	silence, first := pool.SilenceLimits(time.Duration(c.kind.Gap), g.FirstEventIn)
	c.watch(a, silence, first)
}

// watch looks for another place when an attempt is silent for too long.
func (c *caller) watch(a *attempt, silence, first time.Duration) {
	a.heard = c.play.clock.now
	limit := first
	var look func()
	look = func() {
		if c.done || c.attempt != a || c.sends >= sends {
			return
		}
		if a.events > 0 {
			limit = silence
		}
		if left := a.heard.Add(limit).Sub(c.play.clock.now); left > 0 {
			c.play.clock.after(left, look)
			return
		}
		a.looks = silence
		c.replace(a)
		c.play.clock.after(a.looks, look)
	}
	c.play.clock.after(first, look)
}

// replace asks for another place; without one the silent engine is the best there is.
func (c *caller) replace(a *attempt) {
	ask := c.askFor(c.asked)
	ask.Exclude = append(ask.Exclude, a.grant.Instance)
	patience := c.patience()
	if c.events > 0 {
		patience = placement.Patience(0, time.Duration(c.kind.Gap))
	}
	silence := c.play.clock.now.Sub(a.heard)
	ask.Replaces = pool.ReplacedAttempt{
		ID:        a.id,
		SilentFor: silence,
		Patience:  patience - silence,
	}
	q := c.play.submit(ask, func(g pool.Grant) {
		c.pending = nil
		if c.done || c.attempt != a {
			c.play.end(c, ask.ID, pool.Abandoned, 0)
			return
		}
		c.play.silent++
		c.moved = true
		c.exclude = append(c.exclude, a.grant.Instance)
		a.stop(pool.Silent)
		c.play.clock.after(c.play.ways(1), func() { c.send(ask.ID, g) })
	}, func(r *pool.Refusal) {
		c.pending = nil
		if r.KeepReplaced {
			a.looks = r.RetryAfter
		}
	})
	c.play.clock.after(pool.ReplacementTimeout, func() { c.play.withdraw(q) })
}

// event takes an event of the attempt, at the caller.
func (c *caller) event(last bool) {
	if c.done {
		return
	}
	now := c.play.clock.now
	if c.events == 0 {
		c.first = now
	} else {
		c.gap = max(c.gap, now.Sub(c.last))
	}
	c.events++
	c.last = now
	if last {
		c.end(Served)
	}
}

// cut ends the attempt as its entry is lost: the caller asks again at once if it may, for
// what it lacks.
func (c *caller) cut() {
	a := c.attempt
	c.attempt = nil
	a.leave()
	c.play.end(c, a.id, pool.Abandoned, forgetAfter)
	if c.tries >= tries {
		c.end(Cut)
		return
	}
	c.ask()
}

// leave ends the request as its caller goes.
func (c *caller) leave(f Fate) {
	if c.done {
		return
	}
	c.end(f)
}

// end ends the request.
func (c *caller) end(f Fate) {
	c.done = true
	c.fate = f
	if c.pending != nil {
		c.play.withdraw(c.pending)
		c.pending = nil
	}
	if c.attempt == nil {
		return
	}
	if f == Served {
		c.attempt.stop(pool.Served)
		return
	}
	c.attempt.stop(pool.Abandoned)
}
