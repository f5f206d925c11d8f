// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import "github.com/linkmast/linkmast/quarantine"

// tellVerdicts tells the entry what is thought of requests that crash endpoints, now and as
// it changes.
func (x *session) tellVerdicts() {
	book := x.server.scheduler.settings.Quarantine
	x.stopVerdicts = book.OnVerdict(func(v quarantine.Verdict) {
		// An entry that takes nothing must not hold up the others.
		go x.sendVerdict(v)
	})
	for _, v := range book.Verdicts() {
		x.sendVerdict(v)
	}
}

// sendVerdict tells the entry of a verdict.
func (x *session) sendVerdict(v quarantine.Verdict) {
	if err := x.send(verdictToEntry(v)); err != nil {
		x.server.scheduler.log.V(1).Info("verdict not told", "entry", x.entry, "identity", v.Identity.String(), "cause", err.Error())
	}
}
