// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"context"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/singleflight"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/internal/tcp"
)

// checkTimeout bounds the check of an endpoint. An ended process refuses connections at once; a
// host without power never answers.
const checkTimeout = 250 * time.Millisecond

// The time until a crash has been judged.
const (
	// surveyDelay is the time that a survey of the other endpoints usually takes at the most.
	surveyDelay = 60 * time.Millisecond
	// DecisionDelay is the time from a crash for which a suspected request that crashed its endpoint
	// isn't sent again.
	DecisionDelay = SettleDelay + surveyDelay
)

// Checker opens a connection to an endpoint and closes it again.
type Checker func(ctx context.Context, address string) error

// RequestHistory tracks the failed attempts that an entry instance makes for one request of a
// caller.
type RequestHistory struct {
	// Identity is the identity of the request, and Parts are those of the parts of its prompt that
	// it may share with others.
	Identity Identity
	Parts    []Identity
	// Request is the request's id for the log.
	Request string

	// lastFailed is the id of the last failed attempt; empty before the first.
	lastFailed string
	// crashedAt is when the last attempt crashed its endpoint although the request was already
	// suspected; zero if it didn't, or after WaitSettled.
	crashedAt time.Time
}

// Keys returns the keys of the request.
func (h *RequestHistory) Keys() Keys {
	return Keys{
		Request: h.Identity,
		Parts:   h.Parts,
	}
}

// FailedAttempt is an attempt that failed, possibly because one of its endpoints crashed.
type FailedAttempt struct {
	// Attempt is the id of the attempt.
	Attempt string
	// StartedAt is when the request was sent to the endpoint, or a moment before that.
	StartedAt time.Time
	// Endpoints are the addresses of the endpoints that worked on the attempt. The first is the one
	// that the request was sent to.
	Endpoints []string
	// Incarnation identifies the process of the first of them; zero if it is unknown.
	Incarnation Incarnation
	// Suspects are the addresses of the endpoints that may have ended.
	Suspects []string
}

// Detector checks whether endpoints have ended under attempts, and reports each such crash to a
// Guard. An endpoint that still accepts connections has not crashed, even if it reset a connection
// or interrupted an answer.
type Detector struct {
	guard   Guard
	check   Checker
	onCrash func()
	log     logr.Logger
	// checks merges concurrent checks of one address.
	checks singleflight.Group
}

// NewDetector returns a detector that calls onCrash for each crash.
func NewDetector(g Guard, check Checker, onCrash func(), log logr.Logger) *Detector {
	return &Detector{
		guard:   g,
		check:   check,
		onCrash: onCrash,
		log:     log,
	}
}

// AttemptFailed checks the suspects of a failed attempt, and reports a crash if one of them has
// ended. For a suspected request it waits for the result, on which the next attempt depends;
// otherwise the check runs in the background.
func (d *Detector) AttemptFailed(h *RequestHistory, a FailedAttempt) {
	c := Crash{
		Attempt:         a.Attempt,
		PreviousAttempt: h.lastFailed,
		Identity:        h.Identity,
		Incarnation:     a.Incarnation,
		OtherEndpoints:  a.Endpoints,
		StartedAt:       a.StartedAt,
		EndedAt:         steady.Now(),
	}
	h.lastFailed = a.Attempt
	if !d.guard.Suspected(h.Keys()) {
		go d.report(c, a.Suspects, h)
		return
	}
	if d.report(c, a.Suspects, h) {
		h.crashedAt = c.EndedAt
	}
}

// WaitSettled waits before the next attempt of a suspected request that crashed its endpoint, until
// the registry has decided whether that crash bans it.
func (h *RequestHistory) WaitSettled(ctx context.Context) {
	if h.crashedAt.IsZero() {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(steady.Until(h.crashedAt.Add(DecisionDelay))):
	}
	h.crashedAt = time.Time{}
}

// report checks the suspects in order, reports the crash of the first that has ended, and reports
// whether there was one.
func (d *Detector) report(c Crash, suspects []string, h *RequestHistory) bool {
	for _, address := range suspects {
		err := d.checkEndpoint(address)
		if err == nil || tcp.Inconclusive(err) {
			continue
		}
		d.onCrash()
		d.log.Info("endpoint ended under a request", "request", h.Request, "attempt", c.Attempt,
			"identity", c.Identity.String(), "parts", Texts(h.Parts), "address", address, "cause", err.Error())
		c.Endpoint = address
		if len(c.OtherEndpoints) > 0 && address == c.OtherEndpoints[0] {
			c.Parts = h.Parts
		} else {
			c.Incarnation = 0
		}
		c.OtherEndpoints = slices.DeleteFunc(slices.Clone(c.OtherEndpoints), func(other string) bool { return other == address })
		d.guard.ReportCrash(c)
		return true
	}
	return false
}

// checkEndpoint opens a connection to an endpoint. Concurrent calls for one address share the
// result.
func (d *Detector) checkEndpoint(address string) error {
	_, err, _ := d.checks.Do(address, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
		defer cancel()
		return nil, d.check(ctx, address)
	})
	return err
}
