// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package tcptest is a link between processes that can fail: it delays, resets, silences
// or cuts connections, one way or for good.
package tcptest

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Link is what a proxy does to connections. The zero value passes bytes on.
type Link struct {
	// Delay holds each piece of data back.
	Delay time.Duration
	// Reset resets connections, and new ones at once.
	Reset bool
	// BlockUp silences the direction to the target.
	BlockUp bool
	// BlockDown silences the direction from the target.
	BlockDown bool
}

// Proxy passes connections on to a target, through a link that can fail.
type Proxy struct {
	// Address is where the proxy listens.
	Address string

	target string

	mu          sync.Mutex
	listener    net.Listener
	closed      bool
	link        Link
	linkChanged chan struct{}
	// conns are both ends of the connections that are passed on, and silent of those
	// that went silent for good.
	conns  map[net.Conn]struct{}
	silent map[net.Conn]struct{}
}

// NewProxy starts a proxy before a target. Close ends it.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		Address:     l.Addr().String(),
		target:      target,
		listener:    l,
		linkChanged: make(chan struct{}),
		conns:       make(map[net.Conn]struct{}),
		silent:      make(map[net.Conn]struct{}),
	}
	go p.accept(l)
	return p, nil
}

// Set changes the link.
func (p *Proxy) Set(l Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = l
	close(p.linkChanged)
	p.linkChanged = make(chan struct{})
	if l.Reset {
		p.resetAll()
	}
}

// Refuse refuses connections, and resets those that are open, as the end of the target's
// process does, until Accept.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	// It may be refusing already.
	_ = p.listener.Close()
	p.resetAll()
}

// Resume ends what Refuse began, at the same address. The error is that of listening there.
func (p *Proxy) Resume() error {
	l, err := net.Listen("tcp", p.Address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return l.Close()
	}
	p.listener = l
	go p.accept(l)
	return nil
}

// Silence makes all open connections silent for good: nothing comes through any more, and
// neither end is told. New ones work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.silent[c] = struct{}{}
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	// Nothing is left to do about an error.
	_ = p.listener.Close()
	p.resetAll()
}

// resetAll resets all connections. The caller holds the lock.
func (p *Proxy) resetAll() {
	for c := range p.conns {
		reset(c)
	}
	clear(p.conns)
}

// reset closes a connection so that its other side sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// accept serves the connections of a listener until that is closed.
func (p *Proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// serve passes a connection on until both directions have ended.
func (p *Proxy) serve(c net.Conn) {
	p.mu.Lock()
	bad := p.link.Reset
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	if bad {
		p.drop(c)
		return
	}
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		p.drop(c)
		return
	}
	p.mu.Lock()
	p.conns[t] = struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(t, c, func(l Link) bool { return l.BlockUp }) })
	both.Go(func() { p.copy(c, t, func(l Link) bool { return l.BlockDown }) })
	both.Wait()
	p.drop(c)
	p.drop(t)
}

// drop resets a connection and forgets it.
func (p *Proxy) drop(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.silent, c)
	p.mu.Unlock()
	reset(c)
}

// copyBytes is how much is passed on at once.
const copyBytes = 16 << 10

// copy passes one direction on while the link lets it. An end is passed on as an
// end, an error as a reset.
func (p *Proxy) copy(to, from net.Conn, silenced func(Link) bool) {
	buf := make([]byte, copyBytes)
	for {
		n, err := from.Read(buf)
		if p.isSilent(from) {
			if err != nil {
				return
			}
			continue
		}
		p.hold(silenced)
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				reset(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// isSilent states whether a connection has gone silent for good.
func (p *Proxy) isSilent(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, silent := p.silent[c]
	return silent
}

// hold holds data back while the link says so.
func (p *Proxy) hold(silenced func(Link) bool) {
	for {
		p.mu.Lock()
		l, changed := p.link, p.linkChanged
		p.mu.Unlock()
		if l.Delay > 0 {
			time.Sleep(l.Delay)
		}
		if !silenced(l) || l.Reset {
			return
		}
		<-changed
	}
}
