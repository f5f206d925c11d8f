// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package tcp

import (
	"context"
	"io"
	"net"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// DetectResets returns a function that dials with the given one. A read from a connection that was
// reset returns syscall.ECONNRESET in place of io.EOF. Without this it may return io.EOF, because the
// kernel reports a reset only once: if it fails a write, a concurrent read sees the end of the data.
func DetectResets(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		sc, ok := c.(syscall.Conn)
		if !ok {
			return c, nil
		}
		raw, err := sc.SyscallConn()
		if err != nil {
			// The connection is closed already; its first read returns the error.
			return c, nil
		}
		return &checkedConn{
			Conn: c,
			raw:  raw,
		}, nil
	}
}

// checkedConn is a connection whose reads distinguish a reset from the end of the data.
type checkedConn struct {
	net.Conn

	raw syscall.RawConn
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if cause := EndCause(c.raw); cause != nil {
		return n, errors.Wrap(cause, "read")
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *checkedConn) SyscallConn() (syscall.RawConn, error) {
	return c.raw, nil
}

// stateClosed is the state of a TCP connection after a reset (TCP_CLOSE). After the end of the peer's
// data, the state is another one until this side closes the connection.
const stateClosed = 7

// EndCause returns why the data of a connection has ended, after a read that returned io.EOF: nil if the
// peer has ended it, syscall.ECONNRESET after a reset.
func EndCause(conn syscall.RawConn) error {
	var cause error
	err := conn.Control(func(fd uintptr) {
		// Without the state, the end can only be taken for the peer's.
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && info.State == stateClosed {
			cause = syscall.ECONNRESET
		}
	})
	if err != nil {
		// The connection was closed concurrently, so its state is not known any more.
		return net.ErrClosed
	}
	return cause
}
