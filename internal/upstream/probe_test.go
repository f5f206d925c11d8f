// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package upstream

import (
	"net"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// TestConnectionsAreProbed looks that the kernel gives up a connection whose
// endpoint has lost power: nothing else ends a request that waits there.
func TestConnectionsAreProbed(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	c, err := New(Settings{}).get(t.Context(), l.Addr().String(), 0)
	is.NoErr(err)
	defer c.close()
	raw, err := c.net.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	option := func(level, name int) int {
		v := 0
		raw.Control(func(fd uintptr) { v, err = unix.GetsockoptInt(int(fd), level, name) })
		is.NoErr(err)
		return v
	}
	is.Equal(option(unix.SOL_SOCKET, unix.SO_KEEPALIVE), 1)
	is.Equal(option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE), 1)
	is.Equal(option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL), 1)
	is.Equal(option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT), int(unackedTimeout.Milliseconds()))
}
