// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package tcptest lets connections go silent in tests, without an end.
package tcptest

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// dialWithin bounds the time in which a connection to the target comes up.
const dialWithin = time.Second

// Relay takes connections and passes their bytes on to a target, until they are
// silenced.
type Relay struct {
	// Address is where the relay listens.
	Address string

	target   string
	listener net.Listener

	mu sync.Mutex
	// open are the connections, both ends, that are still passed on.
	open map[net.Conn]struct{}
	// silent are those that are not.
	silent []net.Conn
	parts  sync.WaitGroup
}

// NewRelay returns a relay to a target at a host and port. The error is that of a
// socket that can't be opened.
func NewRelay(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	r := &Relay{
		Address:  l.Addr().String(),
		target:   target,
		listener: l,
		open:     make(map[net.Conn]struct{}),
	}
	r.parts.Go(r.accept)
	return r, nil
}

// Silence makes all open connections silent for good: nothing comes through, and
// neither end is told. New ones work.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		r.silent = append(r.silent, c)
	}
	clear(r.open)
}

// Close ends all connections and the relay.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for c := range r.open {
		_ = c.Close()
	}
	for _, c := range r.silent {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.parts.Wait()
}

// accept takes connections until the relay is closed.
func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.parts.Go(func() { r.pass(c) })
	}
}

// pass passes a connection on.
func (r *Relay) pass(from net.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), dialWithin)
	defer cancel()
	var d net.Dialer
	to, err := d.DialContext(ctx, "tcp", r.target)
	if err != nil {
		_ = from.Close()
		return
	}
	r.mu.Lock()
	r.open[from], r.open[to] = struct{}{}, struct{}{}
	r.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { r.copy(to, from) })
	copies.Go(func() { r.copy(from, to) })
	copies.Wait()
}

// copyBytes is how much is passed on at once.
const copyBytes = 16 << 10

// copy passes bytes on in one direction until either end closes. Bytes of a connection
// that is silent are read and dropped.
func (r *Relay) copy(to, from net.Conn) {
	buffer := make([]byte, copyBytes)
	for {
		n, err := from.Read(buffer)
		if !r.passes(from) {
			if err == nil {
				continue
			}
			return
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		if err != nil {
			r.end(to, from, err)
			return
		}
	}
}

// passes states whether bytes of a connection are passed on.
func (r *Relay) passes(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.open[c]
	return ok
}

// end closes a connection whose other end has closed, or broken off.
func (r *Relay) end(to, from net.Conn, cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, from)
	if half, ok := to.(*net.TCPConn); ok && errors.Is(cause, io.EOF) {
		_ = half.CloseWrite()
		return
	}
	_ = to.Close()
	_ = from.Close()
}
