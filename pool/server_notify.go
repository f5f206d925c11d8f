// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"github.com/linkmast/linkmast/notice"
	"github.com/linkmast/linkmast/pool/poolpb"
	"github.com/linkmast/linkmast/quarantine"
)

// notifyQueueSize bounds what waits to be told to an entry: what comes about in a second of a storm
// of crashes. An entry that takes no more hears the rest when its next session begins.
const notifyQueueSize = 256

// notifyChanges tells the entry what is thought of requests that crash endpoints, and what endpoints
// say of themselves, now and as it changes, in order. An entry that takes nothing doesn't hold
// up the others.
func (x *session) notifyChanges() {
	s := &x.server.scheduler.settings
	queue := make(chan *poolpb.FromOwner, notifyQueueSize)
	stopVerdicts := s.Quarantine.OnVerdict(func(v quarantine.Verdict) { x.enqueueNotification(queue, entryVerdictMessage(v)) })
	stopNotices := s.Notices.OnChange(func(n notice.Notice) { x.enqueueNotification(queue, entryNoticeMessage(n)) })
	x.stopNotifying = func() {
		stopVerdicts()
		stopNotices()
		close(queue)
	}
	verdicts, notices := s.Quarantine.Verdicts(), s.Notices.Notices()
	go func() {
		for _, v := range verdicts {
			x.notify(entryVerdictMessage(v))
		}
		for _, n := range notices {
			x.notify(entryNoticeMessage(n))
		}
		for m := range queue {
			x.notify(m)
		}
	}()
}

// enqueueNotification has the entry told of a change, unless too much waits.
func (x *session) enqueueNotification(queue chan<- *poolpb.FromOwner, m *poolpb.FromOwner) {
	select {
	case queue <- m:
	default:
		x.server.scheduler.log.Info("entry not told", "entry", x.entry, "of", m.String(), "cause", "too much waits")
	}
}

// notify tells the entry of one change.
func (x *session) notify(m *poolpb.FromOwner) {
	if err := x.send(m); err != nil {
		x.server.scheduler.log.V(1).Info("entry not told", "entry", x.entry, "of", m.String(), "cause", err.Error())
	}
}
