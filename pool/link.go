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
	// idlePingInterval is how often an owner that is not asked is tried.
	idlePingInterval = time.Second
	// busyPingInterval is how often one is tried that owes an answer.
	busyPingInterval = 50 * time.Millisecond
	// busyTimeout is how long an owner that owes an answer may say nothing: some
	// twenty round trips and a pass of the garbage collector.
	busyTimeout = 200 * time.Millisecond
	// idleTimeout is how long an owner may say nothing that owes none.
	idleTimeout = 2500 * time.Millisecond
	// redialPause is the pause between tries to open a link.
	redialPause = 300 * time.Millisecond
	// openTimeout bounds one try.
	openTimeout = time.Second
)

// sendQueueSize bounds the messages that wait to be sent over a link. A link that
// takes no more is out of touch.
const sendQueueSize = 1024

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
	self    entryInfo
	dialer  Dialer
	// greeting returns what the entry has running.
	greeting func() []*poolpb.FromEntry
	// onChange is called when the session opens or breaks off.
	onChange func()
	// onMigrate is called with an attempt that is to onMigrate, the endpoint that has stopped, and
	// who says so.
	onMigrate func(id, endpoint, by string)
	// onVerdict is called with what the owner thinks of requests that crash endpoints.
	onVerdict func(quarantine.Verdict)
	// onNotice is called with what endpoints say of themselves, as the owner knows.
	onNotice func(notice.Notice)
	log      logr.Logger

	mu sync.Mutex
	// tryingSince is when the link was made, or broke off, and the first try to open it tryingSince.
	tryingSince time.Time
	open        bool
	// openedAt is when the session opened.
	openedAt time.Time
	// redialing is closed when it is known whether a session that broke off is open
	// again at the first try; nil at all other times.
	redialing chan struct{}
	// out are the messages that wait to be sent; nil while there is no session, open or
	// opening.
	out chan *poolpb.FromEntry
	// pending are the asks that are owed an answer, by attempt.
	pending map[string]chan reply
	// lastReceived is when the owner last said anything, and pinged when it was last
	// asked to.
	lastReceived time.Time
	lastPing     time.Time
	// seq is the number of the last ping.
	seq int64
	// endSession ends the session.
	endSession context.CancelFunc
}

// entryInfo says who an entry is.
type entryInfo struct {
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
	return !l.open && time.Since(l.tryingSince) < dialGrace
}

// enqueue sends a message if the session is open.
func (l *link) enqueue(m *poolpb.FromEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enqueueLocked(m)
}

// enqueueLocked queues a message: while the session opens it is sent after the greeting. The
// caller holds the lock.
func (l *link) enqueueLocked(m *poolpb.FromEntry) bool {
	if l.out == nil {
		return false
	}
	select {
	case l.out <- m:
		return true
	default:
		l.endSession()
		return false
	}
}

// ask asks the owner for a place.
func (l *link) ask(ctx context.Context, a *PlacementRequest) (Grant, error) {
	c := make(chan reply, 1)
	l.mu.Lock()
	ok := l.open && l.enqueueLocked(&poolpb.FromEntry{
		Kind: &poolpb.FromEntry_Ask{
			Ask: encodePlacementRequest(a),
		},
	})
	if !ok {
		l.mu.Unlock()
		return Grant{}, errLost
	}
	if len(l.pending) == 0 {
		// Silence counts from the first ask that is owed an answer.
		l.lastReceived = time.Now()
	}
	l.pending[a.ID] = c
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
func (l *link) withdraw(a *PlacementRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, a.ID)
	l.enqueueLocked(&poolpb.FromEntry{
		Kind: &poolpb.FromEntry_Withdraw{
			Withdraw: &poolpb.Withdraw{
				Id:      a.ID,
				Service: a.Service,
			},
		},
	})
	// The place may have been given at this moment.
	l.enqueueLocked(endMessage(a.ID, a.Service, Abandoned, ""))
}
