// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package tcp opens connections that the kernel gives up when the other end no longer
// answers: one that lost power, is cut off, or has forgotten the connection without a
// reset. Nothing else ends what waits on such a connection.
package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The times in which a connection is given up.
const (
	// unackedTimeout is how long sent bytes and probes may stay unacknowledged.
	unackedTimeout = 2500 * time.Millisecond
	// probeIdle and probeEvery are how soon a connection on which nothing comes
	// is probed, and how often: an end without power is noticed within three
	// seconds, while one that is just busy answers. The kernel counts in seconds.
	probeIdle     = time.Second
	probeInterval = time.Second
	// probeCount is how many probes stay without an answer.
	probeCount = 2
)

// Dialer returns a dialer of probed connections. A connection that does not come up in
// time fails.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: keepAliveConfig(),
		Control:         setOptions,
	}
}

// Listen listens on an address for connections that are probed like those of Dialer.
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

// listener bounds how long bytes sent on its connections may stay unacknowledged.
// Those don't have that option from the socket that accepts them.
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
			// A connection that has ended is noticed at its first use.
			_ = setUserTimeout(raw)
		}
	}
	return c, nil
}

// keepAliveConfig returns how connections are probed.
func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     probeIdle,
		Interval: probeInterval,
		Count:    probeCount,
	}
}

// setOptions implements the hook of a net.Dialer.
func setOptions(_, _ string, c syscall.RawConn) error {
	return setUserTimeout(c)
}

// setUserTimeout bounds how long bytes that are sent may stay unacknowledged.
func setUserTimeout(c syscall.RawConn) error {
	// Where the option is missing, the time-outs of requests hold all the same.
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
}
