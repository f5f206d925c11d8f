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

// errLost means that the session to the owner was not open, or ended before the owner answered.
var errLost = errors.New("session to the owner of the pool ended")

// Intervals and timeouts of a link.
const (
	// idlePingInterval is the time between pings while no placement request is pending.
	idlePingInterval = time.Second
	// busyPingInterval is the time between pings while placement requests are pending.
	busyPingInterval = 50 * time.Millisecond
	// busyTimeout is how long the owner may send nothing while a placement request is pending; then
	// the session is ended. It allows for many round trips and a garbage collection.
	busyTimeout = 200 * time.Millisecond
	// idleTimeout is the same limit while none is pending.
	idleTimeout = 2500 * time.Millisecond
	// redialPause is the pause between two tries to open the session.
	redialPause = 300 * time.Millisecond
	// openTimeout bounds one try to open the session.
	openTimeout = time.Second
)

// sendQueueSize bounds the messages that are queued for the owner. The session ends when the queue
// is full.
const sendQueueSize = 1024

// Dialer connects to other instances.
type Dialer interface {
	// Conn returns the connection to an address. It is shared and must not be closed.
	Conn(address string) (*grpc.ClientConn, error)
}

// link keeps a session with one owner open and reopens it when it ends.
type link struct {
	// peer is the name of the owner, and address its host and port.
	peer    string
	address string
	self    entryInfo
	dialer  Dialer
	// greeting returns the messages that a session begins with.
	greeting func() []*poolpb.FromEntry
	// onChange is called when the session has opened or ended.
	onChange func()
	// onMigrate is called when the owner orders the migration of an attempt. endpoint is the
	// stopped endpoint, and by names the owner.
	onMigrate func(id, endpoint, by string)
	// onVerdict is called with each verdict that the owner sends.
	onVerdict func(quarantine.Verdict)
	// onNotice is called with each notice of an endpoint that the owner forwards.
	onNotice func(notice.Notice)
	log      logr.Logger

	mu sync.Mutex
	// tryingSince is when the present tries to open the session began: at the creation of the link,
	// or at the end of a session that is reopened at once.
	tryingSince time.Time
	open        bool
	openedAt    time.Time
	// redialing is non-nil during a try to reopen a session at once after its end. It is closed
	// when the try has succeeded or failed.
	redialing chan struct{}
	// queue has the messages to send; nil while no session is open or opening.
	queue chan *poolpb.FromEntry
	// pending has a channel for the owner's answer to each waiting placement request, by attempt
	// ID.
	pending map[string]chan placementReply
	// lastReceived is when the owner's last message came, or when a placement request was sent
	// while none was pending. lastPing is when the last ping was sent.
	lastReceived time.Time
	lastPing     time.Time
	// seq is the number of the last ping.
	seq int64
	// endSession cancels the session.
	endSession context.CancelFunc
}

// entryInfo identifies an entry instance to an owner.
type entryInfo struct {
	entry   string
	domain  string
	process process
	// running returns how long ago the process was started.
	running func() time.Duration
}

// placementReply is an owner's answer to a placement request.
type placementReply struct {
	grant Grant
	err   error
}

// usable reports whether the session is open.
func (l *link) usable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// trying reports whether the session is not open, but has been opening for less than dialGrace.
func (l *link) trying() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.open && time.Since(l.tryingSince) < dialGrace
}

// enqueue queues a message for the owner, or drops it if there is no session.
func (l *link) enqueue(m *poolpb.FromEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enqueueLocked(m)
}

// enqueueLocked is like enqueue, but the caller must hold l.mu. Messages that are queued while the
// session opens follow its greeting. It reports whether the message was queued; a full queue ends
// the session.
func (l *link) enqueueLocked(m *poolpb.FromEntry) bool {
	if l.queue == nil {
		return false
	}
	select {
	case l.queue <- m:
		return true
	default:
		l.endSession()
		return false
	}
}

// place sends a placement request and waits for the answer.
func (l *link) place(ctx context.Context, a *PlacementRequest) (Grant, error) {
	c := make(chan placementReply, 1)
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
		// The busy timeout starts with the first pending request.
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

// withdraw cancels a placement request.
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
	// The owner may grant the request before it receives the withdrawal.
	l.enqueueLocked(endMessage(a.ID, a.Service, Unused, ""))
}
