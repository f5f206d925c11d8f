// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"github.com/linkmast/linkmast/notice"
	"github.com/linkmast/linkmast/pool/poolpb"
	"github.com/linkmast/linkmast/quarantine"
)

// notifyQueueSize bounds the verdicts and notices that are queued for an entry instance, enough for
// a second in which many requests crash endpoints. Further changes are dropped; the next session
// starts with the current state.
const notifyQueueSize = 256

// notifyChanges sends the entry instance all notices of endpoints and the verdicts that a starting
// instance needs (see quarantine.Registry.Verdicts), and then later changes in order. The queue
// keeps an entry instance that reads slowly from delaying the others.
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

// enqueueNotification queues a verdict or notice, or drops it if the queue is full.
func (x *session) enqueueNotification(queue chan<- *poolpb.FromOwner, m *poolpb.FromOwner) {
	select {
	case queue <- m:
	default:
		x.server.scheduler.log.Info("verdict or notice not sent", "entry", x.entry, "of", m.String(), "cause", "queue is full")
	}
}

// notify sends one verdict or notice.
func (x *session) notify(m *poolpb.FromOwner) {
	if err := x.send(m); err != nil {
		x.server.scheduler.log.V(1).Info("verdict or notice not sent", "entry", x.entry, "of", m.String(), "cause", err.Error())
	}
}
