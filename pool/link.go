// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"google.golang.org/grpc"

	"github.com/linkmast/linkmast/pool/poolpb"
)

// errLost means that the owner did not answer.
var errLost = errors.New("owner of the pool is out of touch")

// The times of a link.
const (
	// pingIdle is how often an owner that is not asked is tried.
	pingIdle = time.Second
	// pingBusy is how often one is tried that owes an answer, and silence how
	// long it may say nothing then: some twenty round trips and a pass of the
	// garbage collector.
	pingBusy = 50 * time.Millisecond
	silence  = 200 * time.Millisecond
	// idleSilence is how long an owner may say nothing that owes none.
	idleSilence = 2500 * time.Millisecond
	// redial is the pause between tries to open a link.
	redial = 300 * time.Millisecond
	// openWithin bounds one try.
	openWithin = time.Second
)

// sendQueue bounds the messages that wait to be sent over a link. A link that
// takes no more is out of touch.
const sendQueue = 1024

// Dialer opens connections to instances.
type Dialer interface {
	// Conn returns the connection to an address.
	Conn(address string) (*grpc.ClientConn, error)
}

// link is an entry's session with an owner. It is opened again until it is
// closed.
type link struct {
	peer    string
	address string
	self    hello
	dialer  Dialer
	// book returns what the entry has running.
	book func() []*poolpb.FromEntry
	// turn is called when the session opens or breaks off.
	turn func()
	log  logr.Logger

	mu     sync.Mutex
	open   bool
	out    chan *poolpb.FromEntry
	asked  map[string]chan reply
	heard  time.Time
	pinged time.Time
	seq    int64
	drop   context.CancelFunc
}

// hello says who an entry is.
type hello struct {
	entry  string
	domain string
}

// reply is an owner's answer to an ask.
type reply struct {
	grant Grant
	err   error
}

// run keeps the session open until ctx ends.
func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := l.session(ctx)
		l.lost(err)
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
	if err := l.greet(stream); err != nil {
		return err
	}
	// The first sign of life opens the session.
	if _, err := stream.Recv(); err != nil {
		return err
	}
	opening.Stop()
	out := l.opened(cancel)
	go l.send(ctx, cancel, stream, out)
	go l.keep(ctx, cancel)
	return l.receive(stream)
}

// greet tells the owner who speaks and what runs.
func (l *link) greet(stream grpc.BidiStreamingClient[poolpb.FromEntry, poolpb.FromOwner]) error {
	first := []*poolpb.FromEntry{{
		Kind: &poolpb.FromEntry_Hello{
			Hello: &poolpb.Hello{
				Entry:  l.self.entry,
				Domain: l.self.domain,
			},
		},
	}}
	first = append(first, l.book()...)
	first = append(first, pingMessage(0))
	for _, m := range first {
		if err := stream.Send(m); err != nil {
			return err
		}
	}
	return nil
}

func (l *link) opened(drop context.CancelFunc) chan *poolpb.FromEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = true
	l.drop = drop
	l.heard = time.Now()
	l.out = make(chan *poolpb.FromEntry, sendQueue)
	l.asked = make(map[string]chan reply)
	l.log.Info("owner in touch", "owner", l.peer)
	l.turn()
	return l.out
}

// lost ends what was asked when the session has broken off.
func (l *link) lost(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.open {
		return
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
	l.turn()
}

// usable states whether the owner can be asked.
func (l *link) usable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// tell sends a message if the session is open.
func (l *link) tell(m *poolpb.FromEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.push(m)
}

// push queues a message. The caller holds the lock.
func (l *link) push(m *poolpb.FromEntry) bool {
	if !l.open {
		return false
	}
	select {
	case l.out <- m:
		return true
	default:
		l.drop()
		return false
	}
}

// ask asks the owner for a place.
func (l *link) ask(ctx context.Context, a *Ask) (Grant, error) {
	c := make(chan reply, 1)
	l.mu.Lock()
	ok := l.push(&poolpb.FromEntry{
		Kind: &poolpb.FromEntry_Ask{
			Ask: encodeAsk(a),
		},
	})
	if !ok {
		l.mu.Unlock()
		return Grant{}, errLost
	}
	if len(l.asked) == 0 {
		// Silence counts from the first ask that is owed an answer.
		l.heard = time.Now()
	}
	l.asked[a.ID] = c
	l.mu.Unlock()
	select {
	case r := <-c:
		return r.grant, r.err
	case <-ctx.Done():
		l.withdraw(a)
		return Grant{}, ctx.Err()
	}
}

func (l *link) withdraw(a *Ask) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.asked, a.ID)
	l.push(&poolpb.FromEntry{
		Kind: &poolpb.FromEntry_Withdraw{
			Withdraw: &poolpb.Withdraw{
				Id:      a.ID,
				Service: a.Service,
			},
		},
	})
	// The place may have been given at this moment.
	l.push(endMessage(a.ID, a.Service, Abandoned, ""))
}

// send sends what is queued.
func (l *link) send(ctx context.Context, cancel func(), stream grpc.BidiStreamingClient[poolpb.FromEntry, poolpb.FromOwner], out <-chan *poolpb.FromEntry) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-out:
			if err := stream.Send(m); err != nil {
				cancel()
				return
			}
		}
	}
}

// receive takes the owner's messages.
func (l *link) receive(stream grpc.BidiStreamingClient[poolpb.FromEntry, poolpb.FromOwner]) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		l.take(m)
	}
}

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
			},
		})
	case *poolpb.FromOwner_Pong:
	}
}

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
