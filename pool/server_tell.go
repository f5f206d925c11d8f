// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"github.com/linkmast/linkmast/notice"
	"github.com/linkmast/linkmast/pool/poolpb"
	"github.com/linkmast/linkmast/quarantine"
)

// tellQueue bounds what waits to be told to an entry of one kind: what comes about in a second
// of a storm of crashes. An entry that takes no more hears the rest when its next session
// begins.
const tellQueue = 256

// tellVerdicts tells the entry what is thought of requests that crash endpoints, now and as
// it changes, in order.
func (x *session) tellVerdicts() {
	book := x.server.scheduler.settings.Quarantine
	tell := teller[quarantine.Verdict]{
		session: x,
		encode:  verdictToEntry,
		about:   func(v quarantine.Verdict) string { return v.Identity.String() },
	}
	tell.follow(book.OnVerdict, book.Verdicts)
}

// tellNotices tells the entry what endpoints say of themselves, now and as it changes, in
// order.
func (x *session) tellNotices() {
	book := x.server.scheduler.settings.Notices
	tell := teller[notice.Notice]{
		session: x,
		encode:  noticeToEntry,
		about:   func(n notice.Notice) string { return n.Instance },
	}
	tell.follow(book.OnChange, book.Notices)
}

// teller tells an entry of one kind of changes. An entry that takes nothing doesn't hold up the
// others.
type teller[T any] struct {
	session *session
	encode  func(T) *poolpb.FromOwner
	// about names what a change is about, for the log.
	about func(T) string
}

// follow tells all that is there and then each change, until the session ends.
func (t teller[T]) follow(subscribe func(func(T)) (stop func()), all func() []T) {
	queue := make(chan T, tellQueue)
	stop := subscribe(func(one T) {
		select {
		case queue <- one:
		default:
			t.session.server.scheduler.log.Info("entry not told", "entry", t.session.entry, "of", t.about(one), "cause", "too much waits")
		}
	})
	t.session.stopTelling = append(t.session.stopTelling, func() {
		stop()
		close(queue)
	})
	now := all()
	go func() {
		for _, one := range now {
			t.send(one)
		}
		for one := range queue {
			t.send(one)
		}
	}()
}

// send tells the entry of one change.
func (t teller[T]) send(one T) {
	if err := t.session.send(t.encode(one)); err != nil {
		t.session.server.scheduler.log.V(1).Info("entry not told", "entry", t.session.entry, "of", t.about(one), "cause", err.Error())
	}
}
