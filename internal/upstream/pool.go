// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package upstream

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/internal/tcp"
)

// The times of connections.
const (
	// defaultDialTimeout bounds the time in which a connection comes up.
	defaultDialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is used again when the
	// endpoint does not say how long it keeps one.
	defaultIdleTimeout = 3 * time.Second
	// idleTimeoutMargin is how much earlier a connection is given up than the
	// endpoint says, for the time that the request is on its way.
	idleTimeoutMargin = 700 * time.Millisecond
)

// maxIdlePerEndpoint bounds the idle connections to one endpoint: an engine of
// today has 16 slots.
const maxIdlePerEndpoint = 16

// Settings are the measures of a Pool. A zero value means the default.
type Settings struct {
	// DialTimeout bounds the time in which a connection comes up; the default is
	// 400ms.
	DialTimeout time.Duration
}

// Pool holds idle connections to endpoints.
type Pool struct {
	dialer *net.Dialer
	// dials counts the connections that were opened.
	dials atomic.Int64

	mu sync.Mutex
	// idle are the connections by address; the one that became idle last stands
	// last.
	idle map[string][]*Conn
}

// New returns a pool.
func New(s Settings) *Pool {
	if s.DialTimeout == 0 {
		s.DialTimeout = defaultDialTimeout
	}
	return &Pool{
		dialer: tcp.Dialer(s.DialTimeout),
		idle:   make(map[string][]*Conn),
	}
}

// Dials returns how many connections were opened.
func (p *Pool) Dials() int64 {
	return p.dials.Load()
}

// get returns a connection that has rested for less than fresh, or a new one. The
// error is that of the dial.
func (p *Pool) get(ctx context.Context, address string, fresh time.Duration) (*Conn, error) {
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		if rest := steady.Since(c.idleSince); rest < fresh && rest < c.idleTimeout && c.reusable() {
			return c, nil
		}
		c.close()
	}
	p.dials.Add(1)
	n, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to endpoint")
	}
	return newConn(n, address), nil
}

// take returns the connection that became idle last; nil when there is none.
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

// put keeps a connection for later.
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

// Sweep closes the connections that rested for longer than their endpoints keep
// them.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := steady.Now()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) >= c.idleTimeout {
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
