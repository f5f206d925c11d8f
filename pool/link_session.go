// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"

	"github.com/linkmast/linkmast/pool/poolpb"
	"github.com/linkmast/linkmast/quarantine"
)

// fromOwner is the entry's side of the stream to an owner.
type fromOwner = grpc.BidiStreamingClient[poolpb.FromEntry, poolpb.FromOwner]

// run keeps the session open until ctx ends.
func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := l.session(ctx)
		if l.lost(err) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(redial):
		}
	}
}

// session opens the session and serves it until it breaks off.
func (l *link) session(ctx context.Context) error {
	conn, err := l.dialer.Conn(l.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	opening := time.AfterFunc(openWithin, cancel)
	defer opening.Stop()
	stream, err := poolpb.NewPoolClient(conn).Session(ctx)
	if err != nil {
		return err
	}
	out := l.opens(cancel)
	if err := l.greet(stream); err != nil {
		return err
	}
	// The first sign of life opens the session.
	m, err := stream.Recv()
	if err != nil {
		return err
	}
	opening.Stop()
	l.opened()
	l.take(m)
	go l.send(ctx, cancel, stream, out)
	go l.keep(ctx, cancel)
	return l.receive(stream)
}

// greet tells the owner who speaks and what runs.
func (l *link) greet(stream fromOwner) error {
	first := []*poolpb.FromEntry{{
		Kind: &poolpb.FromEntry_Hello{
			Hello: &poolpb.Hello{
				Entry:  l.self.entry,
				Domain: l.self.domain,
			},
		},
	}}
	first = append(first, l.book()...)
	first = append(first, pingMessage(greetingEnd))
	for _, m := range first {
		if err := stream.Send(m); err != nil {
			return err
		}
	}
	return nil
}

// opens returns the queue of what is sent over a session that opens. Drop ends the
// session.
func (l *link) opens(drop context.CancelFunc) chan *poolpb.FromEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop = drop
	l.out = make(chan *poolpb.FromEntry, sendQueue)
	return l.out
}

// opened notes that the session is open.
func (l *link) opened() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = true
	l.openedAt = time.Now()
	l.heard = l.openedAt
	l.asked = make(map[string]chan reply)
	l.redialed()
	l.log.Info("owner in touch", "owner", l.peer)
	l.turn()
}

// lost ends what was asked when the session has broken off, or did not open. It returns
// whether the next try is due at once.
func (l *link) lost(err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out = nil
	l.redialed()
	if !l.open {
		return false
	}
	l.open = false
	for _, c := range l.asked {
		c <- reply{
			err: errLost,
		}
	}
	cause := ""
	if err != nil {
		cause = err.Error()
	}
	l.log.Info("owner out of touch", "owner", l.peer, "asked", len(l.asked), "cause", cause)
	l.asked = nil
	again := l.brokeOff(err)
	if again {
		l.began = time.Now()
		l.redialing = make(chan struct{})
	}
	l.turn()
	return again
}

// send sends what is queued.
func (l *link) send(ctx context.Context, cancel func(), stream fromOwner, out <-chan *poolpb.FromEntry) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-out:
			err := stream.Send(m)
			if errors.Is(err, io.EOF) {
				// The session has broken off, and receive says why.
				return
			}
			if err != nil {
				// What receive says of it then is only that the session was ended.
				l.log.Info("message to an owner lost", "owner", l.peer, "cause", err.Error())
				cancel()
				return
			}
		}
	}
}

// receive takes the owner's messages.
func (l *link) receive(stream fromOwner) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		l.take(m)
	}
}

// take takes over a message of the owner.
func (l *link) take(m *poolpb.FromOwner) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = time.Now()
	switch k := m.GetKind().(type) {
	case *poolpb.FromOwner_Grant:
		l.answer(k.Grant.GetId(), reply{
			grant: decodeGrant(k.Grant),
		})
	case *poolpb.FromOwner_Refusal:
		l.answer(k.Refusal.GetId(), reply{
			err: &Refusal{
				Reason: k.Refusal.GetReason(),
				After:  microseconds(k.Refusal.GetAfterUs()),
				Kept:   k.Refusal.GetKept(),
			},
		})
	case *poolpb.FromOwner_Move:
		go l.move(k.Move.GetId(), k.Move.GetEndpoint(), l.peer)
	case *poolpb.FromOwner_Verdict:
		l.verdict(quarantine.DecodeVerdict(k.Verdict))
	case *poolpb.FromOwner_Notice:
		l.notice(decodeNotice(k.Notice))
	case *poolpb.FromOwner_Pong:
	}
}

// answer hands a reply to the ask that waits for it. The caller holds the lock.
func (l *link) answer(id string, r reply) {
	if c, ok := l.asked[id]; ok {
		delete(l.asked, id)
		c <- r
	}
}

// keep ends a session whose owner is silent.
func (l *link) keep(ctx context.Context, cancel func()) {
	tick := time.NewTicker(pingBusy)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			if l.check(now) {
				cancel()
				return
			}
		}
	}
}

// check asks for a sign of life when one is due, and returns whether the owner
// is out of touch.
func (l *link) check(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, every := idleSilence, pingIdle
	if len(l.asked) > 0 {
		limit, every = silence, pingBusy
	}
	if now.Sub(l.heard) > limit {
		return true
	}
	if now.Sub(l.pinged) >= every-pingBusy/2 {
		l.pinged = now
		l.seq++
		l.push(pingMessage(l.seq))
	}
	return false
}
