// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package upstream

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// bufferBytes is the buffer of each direction of a connection: most requests and
// many answers fit.
const bufferBytes = 8 << 10

// Conn is a connection to an endpoint.
type Conn struct {
	net net.Conn
	// address is the endpoint's host and port.
	address string
	reader  *bufio.Reader
	writer  *bufio.Writer
	// idleSince is when the connection became idle, and keep how long the
	// endpoint keeps it then.
	idleSince   time.Time
	idleTimeout time.Duration
}

// newConn returns a fresh connection to an address.
func newConn(c net.Conn, address string) *Conn {
	return &Conn{
		net:         c,
		address:     address,
		reader:      bufio.NewReaderSize(c, bufferBytes),
		writer:      bufio.NewWriterSize(c, bufferBytes),
		idleTimeout: defaultIdleTimeout,
	}
}

// reusable states whether an idle connection is open and has nothing to read: a read
// that would wait says so.
func (c *Conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// readKeepAlive takes over the idle time that an answer names.
func (c *Conn) readKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			c.idleTimeout = max(time.Duration(n)*time.Second-idleTimeoutMargin, 0)
		}
	}
}

// close ends the connection.
func (c *Conn) close() {
	// Nothing more is wanted from it; there is nothing to do about an error.
	_ = c.net.Close()
}
