// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import "github.com/linkmast/linkmast/quarantine"

// verdictQueue bounds the verdicts that wait to be told to an entry: what comes about in a
// second of a storm of crashes. An entry that takes no more hears the rest when its next
// session begins.
const verdictQueue = 256

// tellVerdicts tells the entry what is thought of requests that crash endpoints, now and as
// it changes, in order. An entry that takes nothing doesn't hold up the others.
func (x *session) tellVerdicts() {
	book := x.server.scheduler.settings.Quarantine
	queue := make(chan quarantine.Verdict, verdictQueue)
	stop := book.OnVerdict(func(v quarantine.Verdict) {
		select {
		case queue <- v:
		default:
			x.server.scheduler.log.Info("verdict not told", "entry", x.entry, "identity", v.Identity.String(), "cause", "too many wait")
		}
	})
	x.stopVerdicts = func() {
		stop()
		close(queue)
	}
	now := book.Verdicts()
	go func() {
		for _, v := range now {
			x.sendVerdict(v)
		}
		for v := range queue {
			x.sendVerdict(v)
		}
	}()
}

// sendVerdict tells the entry of a verdict.
func (x *session) sendVerdict(v quarantine.Verdict) {
	if err := x.send(verdictToEntry(v)); err != nil {
		x.server.scheduler.log.V(1).Info("verdict not told", "entry", x.entry, "identity", v.Identity.String(), "cause", err.Error())
	}
}
