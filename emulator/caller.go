// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package emulator

import (
	"fmt"
	"math"
	"time"

	"github.com/linkmast/linkmast/placement"
	"github.com/linkmast/linkmast/pool"
)

// Parameters of callers and entry instances.
const (
	// entryCount is the number of entry instances, over which callers are spread.
	entryCount = 32
	// maxTries bounds how often a caller sends its request.
	maxTries = 2
	// maxAttempts bounds the attempts of one try.
	maxAttempts = 2
	// maxRetryWaitShare bounds the wait before a retry, as a share of the time left until
	// the deadline.
	maxRetryWaitShare = 1.0 / 3
	// hintDeviation is the standard deviation of the logarithm of the ratio between the
	// expected and the real length of an answer.
	hintDeviation = 0.5
)

// caller is the caller of one request, together with the entry instance that serves it.
type caller struct {
	play    *play
	index   int
	request *Request
	kind    *Kind
	// expectedTokens is the length of the answer that the caller expects.
	expectedTokens int

	// startedAt is when the caller first sent the request, and sentAt when it last did.
	startedAt time.Time
	sentAt    time.Time
	tries     int
	// attempts is the number of attempts of this try, and exclude lists the engines whose
	// silent attempts were replaced.
	attempts int
	exclude  []string
	attempt  *attempt
	pending  *pending
	// events is the number of events that the caller has received, and longestGap the
	// longest pause between two of them. A try sets lastEventAt to its start, so the time
	// from the last event to a second try doesn't count in longestGap.
	events       int
	firstEventAt time.Time
	lastEventAt  time.Time
	longestGap   time.Duration
	// waitID changes when a try or the back-off before it begins. The change invalidates the
	// timers that watchPatience set before.
	waitID int

	// done is true once the request has ended; ending says how.
	done   bool
	ending Ending
	// migrated is true if a silent attempt was replaced. longestWait is the longest queueing
	// time of a granted placement request, replacements excluded.
	migrated    bool
	longestWait time.Duration
	// longestRefusedWait is the longest time from sending the request to a refusal.
	longestRefusedWait time.Duration
}

// newCaller returns the caller of request i and draws the length of the answer that it
// expects.
func newCaller(p *play, i int, r *Request) *caller {
	k := &p.sheet.Kinds[r.Kind]
	tokens := float64(r.Events * p.sheet.Engines.StepsPerPass)
	return &caller{
		play:           p,
		index:          i,
		request:        r,
		kind:           k,
		expectedTokens: int(tokens * math.Exp(hintDeviation*p.rng.NormFloat64())),
	}
}

// entry returns the name of the caller's entry instance.
func (c *caller) entry() string {
	return fmt.Sprint("n", c.index%entryCount)
}

// start sends the request for the first time and schedules the deadline.
func (c *caller) start() {
	c.startedAt = c.play.clock.now
	c.play.clock.after(time.Duration(c.kind.Deadline), func() { c.giveUp(Abandoned) })
	c.sendRequest()
}

// sendRequest starts a try: it sends the request to the entry instance.
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

// patience returns how long the caller waits for the next event.
func (c *caller) patience() time.Duration {
	return placement.Patience(time.Duration(c.kind.Target), time.Duration(c.kind.Gap))
}

// watchPatience ends the request when the caller's patience has passed since the last event, or
// since the start of the try if the try has received none.
func (c *caller) watchPatience() {
	id := c.waitID
	var check func()
	check = func() {
		if c.done || c.waitID != id {
			return
		}
		if left := c.lastEventAt.Add(c.patience()).Sub(c.play.clock.now); left > 0 {
			c.play.clock.after(left, check)
			return
		}
		c.giveUp(Abandoned)
	}
	c.play.clock.after(c.patience(), check)
}

// requestPlacement asks the pool for a placement.
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

// placementRequest returns the message to the pool. The target counts from entered, and the
// deadline from the first try.
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

// handleRefusal sends the request again after the refusal's back-off, or after maxRetryWaitShare
// of the time left until the deadline if that is shorter. It ends the request if this was the
// last try or the deadline has passed.
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

// startAttempt sends the request to the engines of a granted placement.
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

// watchSilence requests a replacement of attempt a when a has been silent for too long. The
// parameter first limits the silence before the first event, and the parameter silence that after
// each event. The watch ends when a is no longer the caller's attempt, when the request has ended,
// or when the try has had maxAttempts attempts.
func (c *caller) watchSilence(a *attempt, silence, first time.Duration) {
	a.lastEventAt = c.play.clock.now
	limit := first
	var check func()
	check = func() {
		if c.done || c.attempt != a || c.attempts >= maxAttempts {
			return
		}
		if a.events > 0 {
			limit = silence
		}
		if left := a.lastEventAt.Add(limit).Sub(c.play.clock.now); left > 0 {
			c.play.clock.after(left, check)
			return
		}
		a.recheckAfter = silence
		c.requestReplacement(a)
		c.play.clock.after(a.recheckAfter, check)
	}
	c.play.clock.after(first, check)
}

// requestReplacement asks the pool for another engine for the silent attempt a. It withdraws the
// placement request if that is still queued after pool.ReplacementTimeout. Attempt a goes on
// unless the pool grants another engine.
func (c *caller) requestReplacement(a *attempt) {
	request := c.placementRequest(c.sentAt)
	request.Exclude = append(request.Exclude, a.grant.Instance)
	patience := c.patience()
	if c.events > 0 {
		patience = placement.Patience(0, time.Duration(c.kind.Gap))
	}
	silence := c.play.clock.now.Sub(a.lastEventAt)
	request.Replaces = pool.ReplacedAttempt{
		ID:        a.id,
		SilentFor: silence,
		Patience:  patience - silence,
	}
	q := c.play.submit(request, func(g pool.Grant) {
		c.pending = nil
		if c.done || c.attempt != a {
			c.play.reportEnd(c, request.ID, pool.Abandoned, 0)
			return
		}
		c.play.silentAttempts++
		c.migrated = true
		c.exclude = append(c.exclude, a.grant.Instance)
		a.stop(pool.Silent)
		c.play.clock.after(c.play.jitteredDelay(1), func() { c.startAttempt(request.ID, g) })
	}, func(r *pool.Refusal) {
		c.pending = nil
		if r.KeepReplaced {
			a.recheckAfter = r.RetryAfter
		}
	})
	c.play.clock.after(pool.ReplacementTimeout, func() { c.play.withdraw(q) })
}

// receiveEvent records an event at the caller.
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

// loseEntry simulates the failure of the entry instance. It removes the attempt, and reports the
// end of the attempt to the pool after entryLossDelay. If a try is left and the request has not
// ended, the caller sends the request again at once and receives only the missing events. If no
// try is left, the request ends as EntryLost, even if it had ended in another way before.
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

// giveUp ends the request unless it has ended already.
func (c *caller) giveUp(f Ending) {
	if c.done {
		return
	}
	c.end(f)
}

// end ends the request, its queued placement request and its attempt.
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
