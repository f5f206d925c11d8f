// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package reach

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"google.golang.org/grpc"

	"github.com/linkmast/linkmast/internal/tcp"
)

// Timeouts of dials.
const (
	// directTimeout bounds a direct dial.
	directTimeout = 400 * time.Millisecond
	// A direct dial may take slowFactor times the usual time, within the two bounds, before another
	// instance is asked.
	slowFactor      = 8
	minForwardDelay = 30 * time.Millisecond
	maxForwardDelay = 100 * time.Millisecond
	// delayShare is the largest part of the time left for a dial that this delay may take.
	delayShare = 0.3
)

// Settings configures a Dialer.
type Settings struct {
	// Self is the ID of this instance, and FailureDomain its failure domain.
	Self          string
	FailureDomain string
	// Now returns the current time.
	Now func() time.Time
}

// Peer is an instance that can forward connections.
type Peer struct {
	// ID is the instance's ID.
	ID string
	// Address is its host and port for other instances.
	Address string
	// FailureDomain is the failure domain that it runs in.
	FailureDomain string
}

// Connector provides the connections to other instances.
type Connector interface {
	// Conn returns the connection to an address without waiting for it to be established.
	Conn(address string) (*grpc.ClientConn, error)
}

// Parts holds the dependencies of a Dialer.
type Parts struct {
	// Dial opens a direct connection.
	Dial tcp.DialFunc
	// Peers returns the known instances, which may include this one.
	Peers func() []Peer
	// Connector provides the connections to them.
	Connector Connector
	// ServiceOf returns the service of the endpoint at an address; empty if it is unknown.
	ServiceOf func(address string) string
	// OnHang is called when direct connections were found to hang rather than to be refused, with
	// the address, or an empty one for all addresses. Nil is ignored.
	OnHang func(address string)
	// Log receives a line for each change of the state of the paths.
	Log logr.Logger
}

// Dialer opens connections to endpoints.
type Dialer struct {
	settings Settings
	parts    Parts
	links    *links
	peers    *peerHealth

	// verifiedAt is when Verify last began a check.
	verifiedAt atomic.Pointer[time.Time]
	// leaving counts the open connections through instances that will stop.
	leaving atomic.Int64
	// forwarded counts the connections through other instances, and noPath the failed dials with
	// tcp.ErrNoPath.
	forwarded atomic.Int64
	noPath    atomic.Int64
}

// NewDialer returns a Dialer whose direct paths are assumed to work.
func NewDialer(s Settings, p Parts) *Dialer {
	// An answer may end with its connection, so the end and a reset must not be mixed up.
	p.Dial = tcp.DetectResets(p.Dial)
	return &Dialer{
		settings: s,
		parts:    p,
		links:    newLinks(s.Now, p.Log),
		peers:    newPeerHealth(s),
	}
}

// dialed is the result of a dial.
type dialed struct {
	conn net.Conn
	err  error
}

// DialContext connects to an endpoint. It dials directly, and asks other instances if that fails or
// takes long, or at once if the direct path is assumed to be broken; such a path is then dialled only
// now and again. The error is that of the direct dial if an instance that reaches the endpoint's
// service can't reach the endpoint either, or if no instance answered. It is tcp.ErrNoPath if those
// that answered don't reach the service.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	suspected := d.links.suspected(address)
	direct := d.links.allowDirect(address)
	if suspected && !direct && d.peers.noneReaches(d.parts.ServiceOf(address)) {
		d.noPath.Add(1)
		return nil, errors.Wrap(tcp.ErrNoPath, address)
	}
	forwarding, cancel := context.WithCancel(ctx)
	defer cancel()
	t := &dial{
		dialer:  d,
		address: address,
	}
	if direct {
		t.direct = d.dialDirect(ctx, network, address)
	}
	if !suspected {
		select {
		case r := <-t.direct:
			if r.err == nil {
				return r.conn, nil
			}
			t.directErr = r.err
			t.direct = nil
		case <-time.After(d.delay(ctx)):
		case <-ctx.Done():
			t.discardDirect()
			return nil, ctx.Err()
		}
	}
	if t.direct != nil && d.peers.noneReaches(d.parts.ServiceOf(address)) {
		// No instance had a path to the service a moment ago, and the direct dial had the usual
		// time.
		d.noPath.Add(1)
		t.discardDirect()
		return nil, t.noPathError()
	}
	t.forward = d.forward(forwarding, address)
	c, err := t.wait(ctx)
	if errors.Is(err, tcp.ErrNoPath) {
		d.noPath.Add(1)
	}
	return c, err
}

// Verify checks the direct path to an endpoint in the background, because an answer is overdue. It
// does nothing if another check began less than verifyInterval ago.
func (d *Dialer) Verify(address string) {
	now := d.settings.Now()
	last := d.verifiedAt.Load()
	if last != nil && now.Sub(*last) < verifyInterval || !d.verifiedAt.CompareAndSwap(last, &now) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), directTimeout)
		defer cancel()
		if c, err := d.DialContext(ctx, "tcp", address); err == nil {
			_ = c.Close()
		}
	}()
}

// verifyInterval is the least time between two calls of Verify that have an effect.
const verifyInterval = 500 * time.Millisecond

// dialDirect starts a direct dial, which doesn't end with ctx, so that its result is known to the
// links even if a forwarded connection is faster. The channel receives its result.
func (d *Dialer) dialDirect(ctx context.Context, network, address string) chan dialed {
	out := make(chan dialed, 1)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), directTimeout)
	go func() {
		defer cancel()
		began := d.settings.Now()
		c, err := d.parts.Dial(ctx, network, address)
		if err == nil {
			d.links.connected(address, d.settings.Now().Sub(began))
		}
		out <- dialed{
			conn: c,
			err:  err,
		}
	}()
	return out
}

// delay returns how long to wait for a direct dial before another instance is asked.
func (d *Dialer) delay(ctx context.Context) time.Duration {
	delay := min(max(slowFactor*d.links.usualTime(), minForwardDelay), maxForwardDelay)
	if end, ok := ctx.Deadline(); ok {
		delay = min(delay, time.Duration(delayShare*float64(time.Until(end))))
	}
	return delay
}

// Leaving returns the number of open connections through instances that will stop. Idle ones should
// be closed, because these instances wait for them.
func (d *Dialer) Leaving() int64 {
	return d.leaving.Load()
}

// Stats are the counters and the state of a Dialer.
type Stats struct {
	// Cut is set while all direct paths are assumed to be broken, and Broken counts those that
	// failed.
	Cut    bool `json:"cut"`
	Broken int  `json:"broken"`
	// Forwarded is the number of connections through other instances since the start.
	Forwarded int64 `json:"forwarded"`
	// NoPath is the number of dials since the start for which no instance had a path to endpoints.
	NoPath int64 `json:"no_path"`
}

// Stats returns the current statistics.
func (d *Dialer) Stats() Stats {
	broken, cut := d.links.state()
	return Stats{
		Cut:       cut,
		Broken:    broken,
		Forwarded: d.forwarded.Load(),
		NoPath:    d.noPath.Load(),
	}
}

// dial is the state of a call of DialContext that asks another instance.
type dial struct {
	dialer  *Dialer
	address string
	// direct and forward receive the results of the dials; nil if one wasn't started or its result
	// was received.
	direct  chan dialed
	forward chan forwardResult
	// directErr is the error of the direct dial; nil before.
	directErr error
}

// wait returns the first connection, or the error once both dials have failed.
func (t *dial) wait(ctx context.Context) (net.Conn, error) {
	var refused forwardResult
	for t.direct != nil || t.forward != nil {
		select {
		case r := <-t.direct:
			t.direct = nil
			if r.err == nil {
				t.discardForward()
				return r.conn, nil
			}
			t.directErr = r.err
		case r := <-t.forward:
			t.forward = nil
			if r.err == nil {
				return t.useForwarded(r), nil
			}
			refused = r
			if r.verdict != unreachable && t.direct == nil && t.directErr == nil {
				// The direct path is assumed to be broken, but there is no other.
				t.direct = t.dialer.dialDirect(ctx, "tcp", t.address)
			}
		case <-ctx.Done():
			return nil, t.outOfTime(ctx)
		}
	}
	if refused.verdict == noPath {
		return nil, t.noPathError()
	}
	if t.directErr != nil {
		return nil, t.directErr
	}
	return nil, refused.err
}

// outOfTime returns the error of a dial whose time is over.
func (t *dial) outOfTime(ctx context.Context) error {
	t.discardDirect()
	if t.forward != nil {
		// The forwarded dial ends with ctx.
		r := <-t.forward
		t.forward = nil
		if r.err == nil {
			_ = r.conn.Close()
		} else if r.verdict == noPath {
			return t.noPathError()
		}
	}
	if t.directErr != nil {
		return t.directErr
	}
	return ctx.Err()
}

// noPathError returns tcp.ErrNoPath together with the error of the direct dial, if there was one.
func (t *dial) noPathError() error {
	if t.directErr == nil {
		return errors.Wrap(tcp.ErrNoPath, t.address)
	}
	return errors.Join(tcp.ErrNoPath, t.directErr)
}

// useForwarded returns a forwarded connection, and records that the direct path is broken if the
// direct dial failed. If it is still running, its result decides.
func (t *dial) useForwarded(r forwardResult) net.Conn {
	t.dialer.forwarded.Add(1)
	switch {
	case t.directErr != nil:
		t.dialer.links.failed(t.address, r.peer.ID)
	case t.direct != nil:
		go t.awaitDirect(r.peer.ID)
	}
	return r.conn
}

// awaitDirect waits for the result of a direct dial that was slower than a forwarded one.
func (t *dial) awaitDirect(via string) {
	// The path counts as broken meanwhile, so that further requests don't wait for it.
	t.dialer.links.failed(t.address, via)
	r := <-t.direct
	if r.err == nil {
		_ = r.conn.Close()
		return
	}
	t.dialer.links.failed(t.address, via)
	if t.dialer.parts.OnHang == nil || !isTimeout(r.err) {
		return
	}
	if _, cut := t.dialer.links.state(); cut {
		t.dialer.parts.OnHang("")
		return
	}
	t.dialer.parts.OnHang(t.address)
}

// isTimeout reports whether a dial ended by its timeout.
func isTimeout(err error) bool {
	var n net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &n) && n.Timeout()
}

// discardDirect closes the connection of a direct dial that is still running.
func (t *dial) discardDirect() {
	if t.direct == nil {
		return
	}
	go func(direct chan dialed) {
		if r := <-direct; r.err == nil {
			_ = r.conn.Close()
		}
	}(t.direct)
	t.direct = nil
}

// discardForward closes the connection of a forwarded dial that is still running.
func (t *dial) discardForward() {
	if t.forward == nil {
		return
	}
	go func(forward chan forwardResult) {
		if r := <-forward; r.err == nil {
			_ = r.conn.Close()
		}
	}(t.forward)
	t.forward = nil
}
