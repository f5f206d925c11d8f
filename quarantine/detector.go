// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"context"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/singleflight"

	"github.com/linkmast/linkmast/internal/steady"
)

// checkTimeout bounds the look whether an endpoint has ended: an ended process refuses
// connections at once, a machine without power never answers.
const checkTimeout = 250 * time.Millisecond

// Checker opens a connection to an endpoint and closes it again.
type Checker func(ctx context.Context, address string) error

// RequestHistory is what is known of one try of a request over its attempts.
type RequestHistory struct {
	// Identity is that of the request.
	Identity Identity
	// Request names the try, for the log.
	Request string

	// lastFailed names its last attempt that broke off; empty lastFailed the first one.
	lastFailed string
	// crashedAt is when an endpoint ended under it that was suspected before; zero if none did.
	crashedAt time.Time
}

// FailedAttempt is an attempt that broke off, or whose endpoint is silent.
type FailedAttempt struct {
	// Attempt names it.
	Attempt string
	// StartedAt is when it was sent.
	StartedAt time.Time
	// Endpoints are the addresses of the endpoints that worked on it, its own first.
	Endpoints []string
	// Suspects are those of them that may have ended.
	Suspects []string
}

// Detector looks whether endpoints have ended under attempts, and reports those crashes. A
// connection that was reset, an answer that an endpoint broke off, or a connection that it no
// longer kept are none.
type Detector struct {
	guard   Guard
	check   Checker
	onCrash func()
	log     logr.Logger
	// checks are those that are under way, by address.
	checks singleflight.Group
}

// NewDetector returns a detector. Count is called with each crash.
func NewDetector(g Guard, check Checker, count func(), log logr.Logger) *Detector {
	return &Detector{
		guard:   g,
		check:   check,
		onCrash: count,
		log:     log,
	}
}

// AttemptFailed reports an attempt of a try if one of its endpoints has ended. For a request that is
// suspected it returns when that is known, as the next attempt depends on it.
func (d *Detector) AttemptFailed(t *RequestHistory, b FailedAttempt) {
	c := Crash{
		Attempt:         b.Attempt,
		PreviousAttempt: t.lastFailed,
		Identity:        t.Identity,
		OtherEndpoints:  b.Endpoints,
		StartedAt:       b.StartedAt,
		EndedAt:         steady.Now(),
	}
	t.lastFailed = b.Attempt
	if !d.guard.Suspected(t.Identity) {
		go d.report(c, b.Suspects, t.Request)
		return
	}
	if d.report(c, b.Suspects, t.Request) {
		t.crashedAt = c.EndedAt
	}
}

// WaitSettled waits, before a further attempt of a try that was suspected when it crashed an
// endpoint, until it is known whether there may be one.
func (t *RequestHistory) WaitSettled(ctx context.Context) {
	if t.crashedAt.IsZero() {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(steady.Until(t.crashedAt.Add(SettleDelay))):
	}
	t.crashedAt = time.Time{}
}

// report reports a crash if one of the suspects has ended, and returns whether it did.
func (d *Detector) report(c Crash, suspects []string, request string) bool {
	for _, address := range suspects {
		err := d.checkEndpoint(address)
		if err == nil {
			continue
		}
		d.onCrash()
		d.log.Info("endpoint ended under a request", "request", request, "attempt", c.Attempt,
			"identity", c.Identity.String(), "address", address, "cause", err.Error())
		c.Endpoint = address
		c.OtherEndpoints = slices.DeleteFunc(slices.Clone(c.OtherEndpoints), func(other string) bool { return other == address })
		d.guard.ReportCrash(c)
		return true
	}
	return false
}

// checkEndpoint opens a connection to an endpoint. All who want to know at one moment share it.
func (d *Detector) checkEndpoint(address string) error {
	_, err, _ := d.checks.Do(address, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
		defer cancel()
		return nil, d.check(ctx, address)
	})
	return err
}
