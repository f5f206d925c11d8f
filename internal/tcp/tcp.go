// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package tcp provides TCP connections that the kernel closes when the peer no longer
// responds, because it lost power, is cut off, or dropped the connection without a reset.
// Without this, reads on such a connection could block forever.
package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts after which the kernel closes a connection.
const (
	// unackedTimeout bounds how long sent data may stay unacknowledged.
	unackedTimeout = 2500 * time.Millisecond
	// probeIdle is how long a connection is idle before the first keep-alive probe, and
	// probeInterval the interval between probes. The kernel takes whole seconds. A peer whose
	// host is down is detected within about three seconds. The kernel of a peer whose process
	// is busy still answers the probes.
	probeIdle     = time.Second
	probeInterval = time.Second
	// probeCount is the number of unanswered probes after which the connection is closed. With
	// TCP_USER_TIMEOUT, the kernel closes it after unackedTimeout instead.
	probeCount = 2
)

// DialFunc opens a connection, like the method DialContext of net.Dialer.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a dialer for connections with keep-alive probes and a bound on unacknowledged
// data. A dial fails after timeout.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: keepAliveConfig(),
		Control:         setOptions,
	}
}

// DialerFrom is like Dialer, but connections have the given local IP address. Nil means that the
// system chooses one.
func DialerFrom(timeout time.Duration, local net.IP) *net.Dialer {
	d := Dialer(timeout)
	if local != nil {
		d.LocalAddr = &net.TCPAddr{
			IP: local,
		}
	}
	return d
}

// Listen listens on a TCP address. Accepted connections have the same options as those of
// Dialer.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: keepAliveConfig(),
	}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{
		Listener: l,
	}, nil
}

// listener sets TCP_USER_TIMEOUT on each accepted connection.
type listener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok {
		if raw, err := t.SyscallConn(); err == nil {
			// This fails if the connection is closed already; the first read then returns the
			// error.
			_ = setUserTimeout(raw)
		}
	}
	return c, nil
}

// keepAliveConfig returns the keep-alive settings of all connections.
func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     probeIdle,
		Interval: probeInterval,
		Count:    probeCount,
	}
}

// setOptions implements net.Dialer.Control.
func setOptions(_, _ string, c syscall.RawConn) error {
	return setUserTimeout(c)
}

// setUserTimeout sets TCP_USER_TIMEOUT, which bounds how long sent data may stay
// unacknowledged.
func setUserTimeout(c syscall.RawConn) error {
	// Without support for the option, only the keep-alive probes and the timeouts of the
	// requests apply.
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
}
