// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package upstream

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/internal/tcp"
)

// Timeouts of connections.
const (
	// defaultDialTimeout bounds the establishment of a connection.
	defaultDialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection may be reused if the endpoint sends no
	// Keep-Alive timeout.
	defaultIdleTimeout = 3 * time.Second
	// idleTimeoutMargin is subtracted from the timeout that the endpoint announces, so that a
	// request does not arrive while the endpoint closes the connection.
	idleTimeoutMargin = 700 * time.Millisecond
)

// maxIdlePerEndpoint bounds the idle connections to one endpoint. It equals the usual number
// of requests that an engine runs at once.
const maxIdlePerEndpoint = 16

// Settings configures a Pool. Zero values select the defaults.
type Settings struct {
	// DialTimeout bounds the establishment of a connection; the default is 400ms.
	DialTimeout time.Duration
	// Dial opens connections, whose reads must tell a reset from the end of the data; the default
	// is a tcp.Dialer with tcp.DetectResets.
	Dial tcp.DialFunc
}

// Pool opens connections to endpoints and keeps idle ones for reuse.
type Pool struct {
	dial        tcp.DialFunc
	dialTimeout time.Duration
	// dials counts the attempts to open a connection, failedDials those that failed.
	dials       atomic.Int64
	failedDials atomic.Int64

	mu sync.Mutex
	// idle holds the idle connections by address, the most recently used last.
	idle map[string][]*Conn
}

// New returns a pool without connections.
func New(s Settings) *Pool {
	if s.DialTimeout == 0 {
		s.DialTimeout = defaultDialTimeout
	}
	if s.Dial == nil {
		s.Dial = tcp.DetectResets(tcp.Dialer(s.DialTimeout).DialContext)
	}
	return &Pool{
		dial:        s.Dial,
		dialTimeout: s.DialTimeout,
		idle:        make(map[string][]*Conn),
	}
}

// Dials returns how many times the pool has tried to open a connection.
func (p *Pool) Dials() int64 {
	return p.dials.Load()
}

// FailedDials returns how many attempts to open a connection have failed.
func (p *Pool) FailedDials() int64 {
	return p.failedDials.Load()
}

// get returns a reusable connection that has been idle for less than maxIdle and less than its
// idle timeout, or a new one. The error is that of the dial.
func (p *Pool) get(ctx context.Context, address string, maxIdle time.Duration) (*Conn, error) {
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		if idle := steady.Since(c.idleSince); idle < maxIdle && idle < c.idleTimeout && c.reusable() {
			return c, nil
		}
		c.close()
	}
	return p.connect(ctx, address)
}

// connect opens a connection to an address.
func (p *Pool) connect(ctx context.Context, address string) (*Conn, error) {
	p.dials.Add(1)
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	n, err := p.dial(ctx, "tcp", address)
	if err != nil {
		p.failedDials.Add(1)
		return nil, errors.Wrap(err, "connect to endpoint")
	}
	return newConn(n, address), nil
}

// Prepare opens a connection to an address and keeps it for a later request. It returns the error of
// the dial.
func (p *Pool) Prepare(ctx context.Context, address string) error {
	c, err := p.connect(ctx, address)
	if err != nil {
		return err
	}
	p.put(c)
	return nil
}

// take removes and returns the idle connection to an address that was used last; nil if there
// is none.
func (p *Pool) take(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put adds a connection to the idle ones. It closes the connection if its idle timeout is not
// positive, unexpected data is buffered, or the endpoint has maxIdlePerEndpoint idle connections.
func (p *Pool) put(c *Conn) {
	if c.idleTimeout <= 0 || c.reader.Buffered() > 0 {
		c.close()
		return
	}
	c.idleSince = steady.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdlePerEndpoint {
		c.close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseDirect closes the idle direct connections to an address, or to all addresses if it is empty.
func (p *Pool) CloseDirect(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, list := range p.idle {
		if address != "" && a != address {
			continue
		}
		p.idle[a] = slices.DeleteFunc(list, func(c *Conn) bool {
			if c.via() != "" {
				return false
			}
			c.close()
			return true
		})
	}
}

// Sweep closes the connections whose idle timeout has passed, and the forwarded ones that must not
// be used any more.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := steady.Now()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) >= c.idleTimeout || c.via() != "" && !c.reusable() {
				c.close()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}
