// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"context"
	"slices"
	"time"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/quarantine"
)

// Quarantine keeps requests from endpoints that crash the endpoints which run them.
type Quarantine interface {
	// Enter gives a request leave to run, or returns when it may come back.
	Enter(id quarantine.Identity) (p quarantine.Pass, after time.Duration, ok bool)
	// Barred states whether a request must not run any more, and for how much longer.
	Barred(id quarantine.Identity) (after time.Duration, barred bool)
	// Suspected states whether attempts of a request have ended with their endpoints of late.
	Suspected(id quarantine.Identity) bool
	// Crashed reports an attempt whose endpoint has ended.
	Crashed(c quarantine.Crash)
	// Served notes a whole answer.
	Served(id quarantine.Identity)
}

const (
	// checkWithin bounds the look whether an endpoint has ended: an ended process refuses
	// connections at once, a machine without power never answers.
	checkWithin = 250 * time.Millisecond
	// metReader is how much later than its request the answer comes that blames an endpoint
	// which helped to read: one that had ended before is blamed within a round trip.
	metReader = 300 * time.Millisecond
)

// crashRefused is the reason of refusals to requests that crash endpoints.
const crashRefused = "the request ended several endpoints that ran it"

// enter gives a request leave to run, or refuses it. It has not run under its present name,
// and says so.
func (l *Relay) enter(j *job) (leave func(), ref *refusal) {
	if l.parts.Quarantine == nil {
		return func() {}, nil
	}
	p, after, ok := l.parts.Quarantine.Enter(j.identity)
	if !ok {
		l.Metrics.add("refused_quarantine")
		return nil, unavailable(crashRefused, after)
	}
	j.once = p.Once
	return p.Leave, nil
}

// banned returns the final answer to a request that was banned meanwhile, or nil. It guards
// against the rest of its attempts: those that wait for a place, and those that follow one
// that broke off.
func (l *Relay) banned(j *job) *refusal {
	if l.parts.Quarantine == nil {
		return nil
	}
	after, banned := l.parts.Quarantine.Barred(j.identity)
	if !banned {
		return nil
	}
	return j.giveUp(crashRefused, after)
}

// judge reports what an attempt shows of its request: a whole answer, or that its endpoint,
// or one that read for it, has ended.
func (l *Relay) judge(t *try, res result) {
	if l.parts.Quarantine == nil {
		return
	}
	if res.final && res.outcome == pool.Served {
		l.parts.Quarantine.Served(t.job.identity)
		return
	}
	suspects := t.suspects(res)
	if len(suspects) == 0 {
		return
	}
	before := t.job.before
	t.job.before = t.ask.ID
	c := quarantine.Crash{
		Attempt:  t.ask.ID,
		Before:   before,
		Identity: t.job.identity,
		Others:   t.addresses(),
		Began:    t.began,
		Ended:    steady.Now(),
	}
	if l.parts.Quarantine.Suspected(c.Identity) {
		if l.report(c, suspects, t.job.head.ID) {
			t.job.crashed = c.Ended
		}
		return
	}
	go l.report(c, suspects, t.job.head.ID)
}

// settle waits, before a further attempt of a request that was suspected when it crashed an
// endpoint, until it is known whether there may be one.
func (l *Relay) settle(ctx context.Context, j *job) {
	if j.crashed.IsZero() {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(steady.Until(j.crashed.Add(quarantine.SettleAfter))):
	}
	j.crashed = time.Time{}
}

// suspects returns the addresses of the endpoints that may have ended under an attempt.
func (t *try) suspects(res result) []string {
	switch {
	case res.cut || res.outcome == pool.Silent:
		return t.addresses()
	case res.outcome == pool.Rejected && res.culprit != "" && res.culprit != t.grant.Address && steady.Since(t.began) > metReader:
		return []string{res.culprit}
	}
	return nil
}

// addresses returns those of the endpoints that work on an attempt, its own first.
func (t *try) addresses() []string {
	out := []string{t.grant.Address}
	for _, r := range t.grant.Readers {
		out = append(out, r.Address)
	}
	return out
}

// report reports a crash if one of the endpoints has ended, and returns whether it did. A
// connection that was reset, an answer that an endpoint broke off, or a connection that it no
// longer kept are none.
func (l *Relay) report(c quarantine.Crash, addresses []string, request string) bool {
	for _, address := range addresses {
		err := l.check(address)
		if err == nil {
			continue
		}
		l.Metrics.add("crashes")
		l.parts.Log.Info("endpoint ended under a request", "request", request, "attempt", c.Attempt,
			"identity", c.Identity.String(), "address", address, "cause", err.Error())
		c.Endpoint = address
		c.Others = slices.DeleteFunc(c.Others, func(other string) bool { return other == address })
		l.parts.Quarantine.Crashed(c)
		return true
	}
	return false
}

// check opens a connection to an endpoint. All who want to know at one moment share it.
func (l *Relay) check(address string) error {
	_, err, _ := l.checks.Do(address, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), checkWithin)
		defer cancel()
		return nil, l.parts.Check(ctx, address)
	})
	return err
}
