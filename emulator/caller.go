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
	// entryCount is over how many instances callers are spread: reports of two agree.
	entryCount = 32
	// maxTries is how often a caller asks.
	maxTries = 2
	// maxAttempts is how many engines one try is sent to at the most.
	maxAttempts = 2
	// maxRetryWaitShare is the part of its time left that a caller waits at the most before it
	// comes back.
	maxRetryWaitShare = 1.0 / 3
	// hintDeviation is the deviation of the logarithm of what callers take the length of
	// answers for.
	hintDeviation = 0.5
)

// caller is a request on its way, with the entry that serves it.
type caller struct {
	play    *play
	index   int
	request *Request
	kind    *Kind
	// expectedTokens is the length of the answer that the caller expects, in tokens.
	expectedTokens int

	// startedAt is when it first asked, and asked when it asked last.
	startedAt time.Time
	sentAt    time.Time
	tries     int
	// attempts counts the engines of this try, and exclude names them.
	attempts int
	exclude  []string
	attempt  *attempt
	pending  *pending
	// events is how many have come, the first of them at first, the last at last; gap
	// is the longest pause.
	events       int
	firstEventAt time.Time
	lastEventAt  time.Time
	longestGap   time.Duration
	// waitID counts what ends the wait for a sign.
	waitID int

	// done states that it has ended, with its fate.
	done   bool
	ending Ending
	// migrated states that it went elsewhere after a silence, and waited is the longest wait
	// for a place that was given.
	migrated    bool
	longestWait time.Duration
	// longestRefusedWait is the longest wait that ended with a refusal.
	longestRefusedWait time.Duration
}

func newCaller(p *play, i int, r *Request) *caller {
	k := &p.sheet.Kinds[r.Kind]
	tokens := float64(r.Events * p.sheet.Engines.Stride)
	return &caller{
		play:           p,
		index:          i,
		request:        r,
		kind:           k,
		expectedTokens: int(tokens * math.Exp(hintDeviation*p.rng.NormFloat64())),
	}
}

// entry names the entry that the caller's connection leads to.
func (c *caller) entry() string {
	return fmt.Sprint("n", c.index%entryCount)
}

// start lets the caller ask for the first time.
func (c *caller) start() {
	c.startedAt = c.play.clock.now
	c.play.clock.after(time.Duration(c.kind.Deadline), func() { c.giveUp(Abandoned) })
	c.sendRequest()
}

// sendRequest sends the request to an entry.
func (c *caller) sendRequest() {
	if c.done {
		return
	}
	c.tries++
	c.waitID++
	c.attempts = 0
	c.exclude = nil
	c.sentAt = c.play.clock.now
	c.lastEventAt = c.sentAt
	c.watchPatience()
	c.play.clock.after(c.play.delay(1), c.requestPlacement)
}

// patience is how long the caller waits for a sign.
func (c *caller) patience() time.Duration {
	return placement.Patience(time.Duration(c.kind.Target), time.Duration(c.kind.Gap))
}

// watchPatience lets the caller leave when nothing comes for too long.
func (c *caller) watchPatience() {
	turn := c.waitID
	var look func()
	look = func() {
		if c.done || c.waitID != turn {
			return
		}
		if left := c.lastEventAt.Add(c.patience()).Sub(c.play.clock.now); left > 0 {
			c.play.clock.after(left, look)
			return
		}
		c.giveUp(Abandoned)
	}
	c.play.clock.after(c.patience(), look)
}

// requestPlacement asks the owner of the pool for a requestPlacement.
func (c *caller) requestPlacement() {
	if c.done {
		return
	}
	entered := c.play.clock.now
	c.play.clock.after(c.play.jitteredDelay(1), func() {
		if c.done {
			return
		}
		a := c.placementRequest(entered)
		c.pending = c.play.submit(a, func(g pool.Grant) {
			c.pending = nil
			c.longestWait = max(c.longestWait, g.Waited)
			c.play.clock.after(c.play.jitteredDelay(2), func() { c.startAttempt(a.ID, g) })
		}, func(r *pool.Refusal) {
			c.pending = nil
			c.play.clock.after(c.play.delay(2), func() { c.handleRefusal(r) })
		})
	})
}

// placementRequest describes the request to the owner.
func (c *caller) placementRequest(entered time.Time) pool.PlacementRequest {
	now := c.play.clock.now
	c.play.requestCount++
	a := pool.PlacementRequest{
		ID:        fmt.Sprintf("r%d.%d", c.index, c.play.requestCount),
		Service:   service,
		Route:     c.kind.Name,
		RouteRank: c.kind.Rank,
		Content:   uint64(c.index) + 1,
		Prompt:    c.request.Prompt,
		Output:    c.expectedTokens,
		Target:    time.Duration(c.kind.Target) - now.Sub(entered),
		Gap:       time.Duration(c.kind.Gap),
		Deadline:  time.Duration(c.kind.Deadline) - now.Sub(c.startedAt),
		Exclude:   c.exclude,
		Retry:     c.attempts > 0,
	}
	if c.tries > 1 {
		a.Returning = true
		a.Elapsed = c.sentAt.Sub(c.startedAt)
	}
	return a
}

// handleRefusal lets the caller come back, once.
func (c *caller) handleRefusal(r *pool.Refusal) {
	if c.done {
		return
	}
	c.longestRefusedWait = max(c.longestRefusedWait, c.play.clock.now.Sub(c.sentAt))
	left := time.Duration(c.kind.Deadline) - c.play.clock.now.Sub(c.startedAt)
	if c.tries >= maxTries || left <= 0 {
		c.end(Refused)
		return
	}
	c.waitID++
	wait := min(r.RetryAfter, time.Duration(maxRetryWaitShare*float64(left)))
	c.play.clock.after(wait, c.sendRequest)
}

// startAttempt sends the request to its place.
func (c *caller) startAttempt(id string, g pool.Grant) {
	if c.done {
		c.play.reportEnd(c, id, pool.Abandoned, c.play.delay(1))
		return
	}
	c.attempts++
	a := newAttempt(c, id, g)
	c.attempt = a
	c.play.clock.after(c.play.jitteredDelay(1), a.begin)
	silence, first := pool.SilenceLimits(time.Duration(c.kind.Gap), g.FirstEventIn)
	c.watchSilence(a, silence, first)
}

// watchSilence looks for another place when an attempt is silent for too long.
func (c *caller) watchSilence(a *attempt, silence, first time.Duration) {
	a.lastEventAt = c.play.clock.now
	limit := first
	var look func()
	look = func() {
		if c.done || c.attempt != a || c.attempts >= maxAttempts {
			return
		}
		if a.events > 0 {
			limit = silence
		}
		if left := a.lastEventAt.Add(limit).Sub(c.play.clock.now); left > 0 {
			c.play.clock.after(left, look)
			return
		}
		a.recheckAfter = silence
		c.requestReplacement(a)
		c.play.clock.after(a.recheckAfter, look)
	}
	c.play.clock.after(first, look)
}

// requestReplacement asks for another place; without one the silent engine is the best there is.
func (c *caller) requestReplacement(a *attempt) {
	ask := c.placementRequest(c.sentAt)
	ask.Exclude = append(ask.Exclude, a.grant.Instance)
	patience := c.patience()
	if c.events > 0 {
		patience = placement.Patience(0, time.Duration(c.kind.Gap))
	}
	silence := c.play.clock.now.Sub(a.lastEventAt)
	ask.Replaces = pool.ReplacedAttempt{
		ID:        a.id,
		SilentFor: silence,
		Patience:  patience - silence,
	}
	q := c.play.submit(ask, func(g pool.Grant) {
		c.pending = nil
		if c.done || c.attempt != a {
			c.play.reportEnd(c, ask.ID, pool.Abandoned, 0)
			return
		}
		c.play.silentAttempts++
		c.migrated = true
		c.exclude = append(c.exclude, a.grant.Instance)
		a.stop(pool.Silent)
		c.play.clock.after(c.play.jitteredDelay(1), func() { c.startAttempt(ask.ID, g) })
	}, func(r *pool.Refusal) {
		c.pending = nil
		if r.KeepReplaced {
			a.recheckAfter = r.RetryAfter
		}
	})
	c.play.clock.after(pool.ReplacementTimeout, func() { c.play.withdraw(q) })
}

// receiveEvent takes an receiveEvent of the attempt, at the caller.
func (c *caller) receiveEvent(last bool) {
	if c.done {
		return
	}
	now := c.play.clock.now
	if c.events == 0 {
		c.firstEventAt = now
	} else {
		c.longestGap = max(c.longestGap, now.Sub(c.lastEventAt))
	}
	c.events++
	c.lastEventAt = now
	if last {
		c.end(Served)
	}
}

// loseEntry ends the attempt as its entry is lost: the caller asks again at once if it may, for
// what it lacks.
func (c *caller) loseEntry() {
	a := c.attempt
	c.attempt = nil
	a.removeFromEngines()
	c.play.reportEnd(c, a.id, pool.Abandoned, entryLossDelay)
	if c.tries >= maxTries {
		c.end(EntryLost)
		return
	}
	c.sendRequest()
}

// giveUp ends the request as its caller goes.
func (c *caller) giveUp(f Ending) {
	if c.done {
		return
	}
	c.end(f)
}

// end ends the request.
func (c *caller) end(f Ending) {
	c.done = true
	c.ending = f
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
