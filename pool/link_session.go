// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/pool/poolpb"
	"github.com/linkmast/linkmast/quarantine"
)

// entryStream is the entry instance's end of a session.
type entryStream = grpc.BidiStreamingClient[poolpb.FromEntry, poolpb.FromOwner]

// run opens the session, and opens it again when it ends, until ctx ends.
func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := l.session(ctx)
		if l.handleEnd(err) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialPause):
		}
	}
}

// session opens a session and serves it until it ends.
func (l *link) session(ctx context.Context) error {
	conn, err := l.dialer.Conn(l.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	opening := time.AfterFunc(openTimeout, cancel)
	defer opening.Stop()
	stream, err := poolpb.NewPoolClient(conn).Session(ctx)
	if err != nil {
		return err
	}
	out := l.startQueue(cancel)
	if err := l.sendGreeting(stream); err != nil {
		return err
	}
	// The owner sends its first message only once it knows the endpoints.
	m, err := stream.Recv()
	if err != nil {
		return err
	}
	opening.Stop()
	l.markOpen()
	l.handle(m)
	go l.send(ctx, cancel, stream, out)
	go l.monitor(ctx, cancel)
	return l.receive(stream)
}

// sendGreeting sends the name of this instance, its running attempts and the rest of the greeting.
func (l *link) sendGreeting(stream entryStream) error {
	first := []*poolpb.FromEntry{{
		Kind: &poolpb.FromEntry_Hello{
			Hello: &poolpb.Hello{
				Entry:     l.self.entry,
				Domain:    l.self.domain,
				Process:   l.self.process.id,
				RunningUs: l.self.running().Microseconds(),
			},
		},
	}}
	first = append(first, l.greeting()...)
	first = append(first, pingMessage(greetingEnd))
	for _, m := range first {
		if err := stream.Send(m); err != nil {
			return err
		}
	}
	return nil
}

// startQueue creates the queue of messages for a session that is being opened. Calling cancel ends
// the session.
func (l *link) startQueue(cancel context.CancelFunc) chan *poolpb.FromEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endSession = cancel
	l.queue = make(chan *poolpb.FromEntry, sendQueueSize)
	return l.queue
}

// markOpen marks the session as open and starts without pending requests.
func (l *link) markOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = true
	l.openedAt = time.Now()
	l.lastReceived = l.openedAt
	l.pending = make(map[string]chan placementReply)
	l.endRedialWait()
	l.log.Info("session with an owner opened", "owner", l.peer)
	l.onChange()
}

// handleEnd cleans up after a session that ended or could not be opened: pending placement requests
// fail with errLost. It reports whether to reopen the session without a pause.
func (l *link) handleEnd(err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = nil
	l.endRedialWait()
	if !l.open {
		return false
	}
	l.open = false
	for _, c := range l.pending {
		c <- placementReply{
			err: errLost,
		}
	}
	cause := ""
	if err != nil {
		cause = err.Error()
	}
	l.log.Info("session with an owner ended", "owner", l.peer, "asked", len(l.pending), "cause", cause)
	l.pending = nil
	again := l.redialsAtOnce(err)
	if again {
		l.tryingSince = time.Now()
		l.redialing = make(chan struct{})
	}
	l.onChange()
	return again
}

// send sends the queued messages to the owner until ctx ends or sending fails.
func (l *link) send(ctx context.Context, cancel func(), stream entryStream, out <-chan *poolpb.FromEntry) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-out:
			err := stream.Send(m)
			if errors.Is(err, io.EOF) {
				// The session has ended; receive returns the reason.
				return
			}
			if err != nil {
				// Receive would report only the cancellation.
				l.log.Info("message to an owner lost", "owner", l.peer, "cause", err.Error())
				cancel()
				return
			}
		}
	}
}

// receive handles the owner's messages until the session ends.
func (l *link) receive(stream entryStream) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		l.handle(m)
	}
}

// handle processes one message of the owner.
func (l *link) handle(m *poolpb.FromOwner) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastReceived = time.Now()
	switch k := m.GetKind().(type) {
	case *poolpb.FromOwner_Grant:
		l.deliver(k.Grant.GetId(), placementReply{
			grant: decodeGrant(k.Grant),
		})
	case *poolpb.FromOwner_Refusal:
		l.deliver(k.Refusal.GetId(), placementReply{
			err: &Refusal{
				Reason:       k.Refusal.GetReason(),
				RetryAfter:   microseconds(k.Refusal.GetAfterUs()),
				KeepReplaced: k.Refusal.GetKept(),
			},
		})
	case *poolpb.FromOwner_Move:
		go l.onMigrate(k.Move.GetId(), k.Move.GetEndpoint(), l.peer)
	case *poolpb.FromOwner_Verdict:
		l.onVerdict(quarantine.DecodeVerdict(k.Verdict, steady.Now()))
	case *poolpb.FromOwner_Notice:
		l.onNotice(decodeNotice(k.Notice))
	case *poolpb.FromOwner_Pong:
	}
}

// deliver passes a reply to the placement request that waits for it, if any. The caller must hold
// l.mu.
func (l *link) deliver(id string, r placementReply) {
	if c, ok := l.pending[id]; ok {
		delete(l.pending, id)
		c <- r
	}
}

// monitor pings the owner, and ends the session when the owner has been silent for too long.
func (l *link) monitor(ctx context.Context, cancel func()) {
	tick := time.NewTicker(busyPingInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			if l.checkSilence(now) {
				cancel()
				return
			}
		}
	}
}

// checkSilence sends a ping if one is due. It reports whether the owner has been silent for longer
// than the timeout.
func (l *link) checkSilence(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, every := idleTimeout, idlePingInterval
	if len(l.pending) > 0 {
		limit, every = busyTimeout, busyPingInterval
	}
	if now.Sub(l.lastReceived) > limit {
		return true
	}
	if now.Sub(l.lastPing) >= every-busyPingInterval/2 {
		l.lastPing = now
		l.seq++
		l.enqueueLocked(pingMessage(l.seq))
	}
	return false
}
