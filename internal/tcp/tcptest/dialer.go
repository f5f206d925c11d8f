// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package tcptest

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Partition is a fault of the network between one host and all addresses that it dials.
type Partition int

// Kinds of partitions.
const (
	// Connected is no fault.
	Connected Partition = iota
	// RefuseNew refuses new connections. Open ones continue to work.
	RefuseNew
	// ResetAll resets the open connections and refuses new ones.
	ResetAll
	// Drop discards all packets: new connections and data on open ones hang. Open connections
	// fail deadAfter later, like those whose keep-alive probes are not answered.
	Drop
)

// deadAfter is the time after which open connections fail under Drop.
const deadAfter = 2500 * time.Millisecond

// Dialer dials TCP connections from one host and injects partitions. The zero value dials without
// faults.
type Dialer struct {
	mu        sync.Mutex
	partition Partition
	// healed is closed when the current partition ends; nil without one.
	healed chan struct{}
	conns  map[*conn]struct{}
	dials  int
}

// Set replaces the partition.
func (d *Dialer) Set(p Partition) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.healed != nil {
		close(d.healed)
		d.healed = nil
	}
	d.partition = p
	if p == Connected {
		return
	}
	d.healed = make(chan struct{})
	for c := range d.conns {
		switch p {
		case ResetAll:
			reset(c.Conn)
		case Drop:
			c.drop(d.healed)
		case Connected, RefuseNew:
		}
	}
}

// Dials returns how many connections were opened or tried.
func (d *Dialer) Dials() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dials
}

// DialContext opens a connection, as net.Dialer does.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d.mu.Lock()
	d.dials++
	p, healed := d.partition, d.healed
	d.mu.Unlock()
	switch p {
	case RefuseNew, ResetAll:
		return nil, &net.OpError{
			Op:  "dial",
			Net: network,
			Err: syscall.ECONNREFUSED,
		}
	case Drop:
		select {
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "dial")
		case <-healed:
		}
	case Connected:
	}
	var plain net.Dialer
	n, err := plain.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &conn{
		Conn:   n,
		dialer: d,
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conns == nil {
		d.conns = make(map[*conn]struct{})
	}
	d.conns[c] = struct{}{}
	return c, nil
}

// conn is a connection whose packets can be dropped.
type conn struct {
	net.Conn

	dialer *Dialer

	mu sync.Mutex
	// healed is closed when the packets are no longer dropped; nil while they are not.
	healed chan struct{}
}

// drop discards the packets of the connection until healed is closed. The connection fails if that
// takes longer than deadAfter.
func (c *conn) drop(healed chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.healed = healed
	go func() {
		select {
		case <-healed:
			c.mu.Lock()
			defer c.mu.Unlock()
			c.healed = nil
		case <-time.After(deadAfter):
			c.mu.Lock()
			defer c.mu.Unlock()
			_ = c.Conn.Close()
		}
	}()
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	t, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("%T has no file descriptor", c.Conn)
	}
	return t.SyscallConn()
}

// Read implements net.Conn. While packets are dropped it returns nothing.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err := c.wait(); err != nil {
		return 0, err
	}
	return n, err
}

// Write implements net.Conn. While packets are dropped the kernel buffers the data.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.wait(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// wait waits while packets are dropped.
func (c *conn) wait() error {
	c.mu.Lock()
	healed := c.healed
	c.mu.Unlock()
	if healed == nil {
		return nil
	}
	select {
	case <-healed:
		return nil
	case <-time.After(deadAfter):
		return syscall.ETIMEDOUT
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.dialer.mu.Lock()
	delete(c.dialer.conns, c)
	c.dialer.mu.Unlock()
	return c.Conn.Close()
}
