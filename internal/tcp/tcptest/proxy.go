// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package tcptest provides a TCP proxy that injects network faults: it delays data, blocks one or
// both directions, resets or refuses connections, or discards their data.
package tcptest

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/internal/tcp"
)

// Link configures the faults of a proxy's connections. The zero value forwards data without
// faults.
type Link struct {
	// Delay is how long the proxy holds back each chunk of data.
	Delay time.Duration
	// Reset makes the proxy reset all open connections, and new ones as soon as it accepts
	// them.
	Reset bool
	// BlockUp holds back data to the target while it is set.
	BlockUp bool
	// BlockDown holds back data from the target while it is set.
	BlockDown bool
}

// Proxy forwards TCP connections to a target and injects the faults of its Link.
type Proxy struct {
	// Address is the host and port on which the proxy listens.
	Address string

	target string

	mu          sync.Mutex
	listener    net.Listener
	closed      bool
	link        Link
	linkChanged chan struct{}
	// conns holds both sides of all forwarded connections, and silent those whose data is
	// discarded since a call of Silence.
	conns  map[net.Conn]struct{}
	silent map[net.Conn]struct{}
	// dropped has the hosts whose packets are dropped, by IP address: for each, how many
	// partitions there are.
	dropped map[string]int
}

// NewProxy starts a proxy to a target address on a free port. The caller must call Close to stop it.
func NewProxy(target string) (*Proxy, error) {
	return NewProxyAt("127.0.0.1:0", target)
}

// NewProxyAt is like NewProxy, but the proxy listens on the given address.
func NewProxyAt(address, target string) (*Proxy, error) {
	l, err := listen(address)
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
		dropped:     make(map[string]int),
	}
	go p.accept(l)
	return p, nil
}

// listen listens on an address without Multipath TCP, which supports no packet filters.
func listen(address string) (net.Listener, error) {
	var c net.ListenConfig
	c.SetMultipathTCP(false)
	return c.Listen(context.Background(), "tcp", address)
}

// Set replaces the faults of the link.
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

// Refuse resets all open connections and refuses new ones until Resume is called, as if the
// target's process had ended.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The listener may be closed already.
	_ = p.listener.Close()
	p.resetAll()
}

// End is like Refuse, but closes the open connections in order, as the kernel does for a process that
// ended.
func (p *Proxy) End() {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The listener may be closed already.
	_ = p.listener.Close()
	for c := range p.conns {
		_ = c.Close()
	}
	clear(p.conns)
}

// Resume makes the proxy listen on its address again after Refuse or End. It returns the error of
// listening.
func (p *Proxy) Resume() error {
	l, err := listen(p.Address)
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
	return p.filter()
}

// Silence makes the proxy discard all further data of the connections that are open now,
// without closing them. Neither side learns if the other closes its end. New connections are
// not affected.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.silent[c] = struct{}{}
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	// An error has no consequence, as the proxy ends anyway.
	_ = p.listener.Close()
	p.resetAll()
}

// resetAll resets all connections. The caller holds p.mu.
func (p *Proxy) resetAll() {
	for c := range p.conns {
		reset(c)
	}
	clear(p.conns)
}

// reset closes a connection so that its peer receives a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// accept serves the connections of a listener until it is closed.
func (p *Proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// serve forwards a connection until both directions have ended.
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

// drop resets a connection and removes it from the proxy's records.
func (p *Proxy) drop(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.silent, c)
	p.mu.Unlock()
	reset(c)
}

// copyBytes is the size of the buffer of one direction, in bytes.
const copyBytes = 16 << 10

// copy forwards the data of one direction of a connection. The function blocked reports whether a
// link blocks this direction. An end of file is forwarded as a half-close, and an error as a
// reset.
func (p *Proxy) copy(to, from net.Conn, blocked func(Link) bool) {
	buf := make([]byte, copyBytes)
	for {
		n, err := from.Read(buf)
		if p.isSilent(from) {
			if err != nil {
				return
			}
			continue
		}
		p.hold(blocked)
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				reset(from)
				return
			}
		}
		if errors.Is(err, io.EOF) && endedInOrder(from) {
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

// endedInOrder reports whether a connection whose data has ended was not reset. A reset that a write to the
// connection has met reads as the end of the data.
func endedInOrder(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	return err == nil && tcp.EndCause(raw) == nil
}

// isSilent reports whether the proxy discards the data of a connection.
func (p *Proxy) isSilent(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, silent := p.silent[c]
	return silent
}

// hold waits for the delay of the link. If the link blocks the direction, it then waits until the
// link no longer does so or resets connections. The function blocked reports whether a link blocks
// the direction.
func (p *Proxy) hold(blocked func(Link) bool) {
	for {
		p.mu.Lock()
		l, changed := p.link, p.linkChanged
		p.mu.Unlock()
		if l.Delay > 0 {
			time.Sleep(l.Delay)
		}
		if !blocked(l) || l.Reset {
			return
		}
		<-changed
	}
}
