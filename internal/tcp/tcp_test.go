// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package tcp

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// TestConnectionsAreProbed guards against connections without keep-alive probes: a request on
// a connection whose peer lost power would block forever.
func TestConnectionsAreProbed(t *testing.T) {
	is := is.New(t)
	l, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	opened, err := Dialer(time.Second).DialContext(t.Context(), "tcp", l.Addr().String())
	is.NoErr(err)
	defer opened.Close()
	accepted, err := l.Accept()
	is.NoErr(err)
	defer accepted.Close()
	t.Run("opened", func(t *testing.T) { assertKeepAlive(t, opened) })
	t.Run("accepted", func(t *testing.T) { assertKeepAlive(t, accepted) })
}

// assertKeepAlive checks the socket options of a connection.
func assertKeepAlive(t *testing.T, c net.Conn) {
	t.Helper()
	is := is.New(t)
	raw, err := c.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	for _, row := range []struct {
		level, name int
		want        int
	}{
		{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, probeCount},
		{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds())},
	} {
		v := 0
		is.NoErr(raw.Control(func(fd uintptr) { v, err = unix.GetsockoptInt(int(fd), row.level, row.name) }))
		is.NoErr(err)
		is.Equal(v, row.want)
	}
}
