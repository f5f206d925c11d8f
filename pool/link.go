// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"google.golang.org/grpc"

	"github.com/linkmast/linkmast/notice"
	"github.com/linkmast/linkmast/pool/poolpb"
	"github.com/linkmast/linkmast/quarantine"
)

// errLost means that the owner did not answer.
var errLost = errors.New("owner of the pool is out of touch")

// The times of a link.
const (
	// pingIdle is how often an owner that is not asked is tried.
	pingIdle = time.Second
	// pingBusy is how often one is tried that owes an answer.
	pingBusy = 50 * time.Millisecond
	// silence is how long an owner that owes an answer may say nothing: some
	// twenty round trips and a pass of the garbage collector.
	silence = 200 * time.Millisecond
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
	// peer names the owner, and address is where it is.
	peer    string
	address string
	self    hello
	dialer  Dialer
	// book returns what the entry has running.
	book func() []*poolpb.FromEntry
	// turn is called when the session opens or breaks off.
	turn func()
	// move is called with an attempt that is to move, the endpoint that has stopped, and
	// who says so.
	move func(id, endpoint, by string)
	// verdict is called with what the owner thinks of requests that crash endpoints.
	verdict func(quarantine.Verdict)
	// notice is called with what endpoints say of themselves, as the owner knows.
	notice func(notice.Notice)
	log    logr.Logger

	mu sync.Mutex
	// began is when the link was made, or broke off, and the first try to open it began.
	began time.Time
	open  bool
	// openedAt is when the session opened.
	openedAt time.Time
	// redialing is closed when it is known whether a session that broke off is open
	// again at the first try; nil at all other times.
	redialing chan struct{}
	// out are the messages that wait to be sent; nil while there is no session, open or
	// opening.
	out chan *poolpb.FromEntry
	// asked are the asks that are owed an answer, by attempt.
	asked map[string]chan reply
	// heard is when the owner last said anything, and pinged when it was last
	// asked to.
	heard  time.Time
	pinged time.Time
	// seq is the number of the last ping.
	seq int64
	// drop ends the session.
	drop context.CancelFunc
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

// usable states whether the owner can be asked.
func (l *link) usable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// trying states whether the link is not open and was made, or broke off, less than tryFor
// ago.
func (l *link) trying() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.open && time.Since(l.began) < tryFor
}

// tell sends a message if the session is open.
func (l *link) tell(m *poolpb.FromEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.push(m)
}

// push queues a message: while the session opens it is sent after the greeting. The
// caller holds the lock.
func (l *link) push(m *poolpb.FromEntry) bool {
	if l.out == nil {
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
	ok := l.open && l.push(&poolpb.FromEntry{
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

// withdraw takes an ask back.
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
